//! Tickets and resume tokens are accepted only if sealed by this fleet, tickets only for their
//! client account.

use kwg_model::{
    AccountName, DispatchTicket, HomeAddress, InstanceName, MonoTime, PoolName, ResumeToken,
    SealKey, TargetName, TicketError, TicketKey,
};
use quickcheck::quickcheck;

fn ticket() -> DispatchTicket {
    let instance = InstanceName::new("r1").expect("valid");
    let home = HomeAddress { instance, incarnation: 7, shard: 1 };
    let account = AccountName::new("bank").expect("valid");
    DispatchTicket { key: TicketKey { home, sequence: 9 }, account, minted_at: MonoTime::ZERO }
}

#[test]
fn a_ticket_of_another_account_is_refused() {
    let key = SealKey::derive("secret");
    let text = ticket().to_text(&key);
    let other = AccountName::new("other").expect("valid");
    assert_eq!(DispatchTicket::from_text(&text, &key, &other), Err(TicketError::OtherAccount));
}

#[test]
fn a_ticket_of_another_fleet_is_refused() {
    let text = ticket().to_text(&SealKey::derive("secret"));
    let key = SealKey::derive("another secret");
    let read = DispatchTicket::from_text(&text, &key, &ticket().account);
    assert_eq!(read, Err(TicketError::Forged));
}

#[test]
fn a_resume_token_is_not_accepted_as_a_ticket() {
    let key = SealKey::derive("secret");
    let token = ResumeToken {
        key: ticket().key,
        account: ticket().account,
        pool: PoolName::new("graz").expect("valid"),
        target: TargetName::new("e1").expect("valid"),
    };
    let text = token.to_text(&key);
    assert_eq!(ResumeToken::from_text(&text, &key), Some(token));
    assert!(DispatchTicket::from_text(&text, &key, &ticket().account).is_err());
}

quickcheck! {
    fn corrupted_tickets_are_refused(index: usize, flip: u8) -> bool {
        let key = SealKey::derive("secret");
        let mut bytes = ticket().to_text(&key).into_bytes();
        let index = index % bytes.len();
        bytes[index] ^= (flip % 7) + 1;
        let Ok(text) = String::from_utf8(bytes) else { return true };
        DispatchTicket::from_text(text, &key, &ticket().account).is_err()
    }

    fn arbitrary_text_is_refused(text: String) -> bool {
        let key = SealKey::derive("secret");
        DispatchTicket::from_text(&text, &key, &ticket().account).is_err()
            && ResumeToken::from_text(&text, &key).is_none()
    }
}
