//! The ledger through time: expiry, retention, limits and hand-over.

use std::time::Duration;

use kwg_decide::{LedgerOptions, LedgerShelf, MintError, Serving, TicketLedger};
use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, InstanceName,
    MonoTime,
};

fn address(name: &str) -> HomeAddress {
    let instance = InstanceName::new(name).expect("valid");
    HomeAddress { instance, incarnation: 1, shard: 0 }
}

fn stub(name: &str, attempt: u64) -> ClaimStub {
    ClaimStub { claimer: address(name), attempt }
}

fn bank() -> AccountName {
    AccountName::new("bank").expect("valid")
}

fn ledger(options: LedgerOptions) -> TicketLedger<Serving> {
    TicketLedger::open(address("r1"), options)
}

fn options() -> LedgerOptions {
    LedgerOptions {
        lifetime: Duration::from_secs(10),
        retention: Duration::from_secs(5),
        max_tickets: 6,
        max_account_tickets: 4,
    }
}

fn mint(ledger: &mut TicketLedger<Serving>, now: MonoTime) -> DispatchTicket {
    ledger.mint(now, &bank(), 1).expect("room").remove(0)
}

fn second(count: u64) -> MonoTime {
    MonoTime::from_millis(count * 1_000)
}

#[test]
fn an_expired_ticket_is_burned_and_a_forgotten_one_is_unknown() {
    let mut ledger = ledger(options());
    let (early, late) = (mint(&mut ledger, second(0)), mint(&mut ledger, second(0)));
    assert_eq!(ledger.claim(second(11), &early, &stub("r2", 1)), ClaimVerdict::Burned);
    assert_eq!(ledger.claim(second(16), &late, &stub("r2", 2)), ClaimVerdict::Forgotten);
    assert_eq!(ledger.burn(second(16), &late, &stub("r2", 3)), BurnVerdict::Forgotten);
}

#[test]
fn a_claim_is_remembered_past_the_lifetime() {
    let mut ledger = ledger(options());
    let ticket = mint(&mut ledger, second(0));
    assert_eq!(ledger.claim(second(9), &ticket, &stub("r2", 1)), ClaimVerdict::Granted);
    ledger.forget_old(second(14));
    let held = ClaimVerdict::HeldBy(address("r2"));
    assert_eq!(ledger.claim(second(14), &ticket, &stub("r3", 1)), held);
    ledger.forget_old(second(16));
    assert_eq!(ledger.entry_count(), 0, "memory is bounded by retention");
    assert_eq!(ledger.claim(second(16), &ticket, &stub("r3", 2)), ClaimVerdict::Forgotten);
}

#[test]
fn limits_hold_and_free_themselves() {
    let mut ledger = ledger(options());
    ledger.mint(second(0), &bank(), 4).expect("room");
    let full = ledger.mint(second(0), &bank(), 1);
    assert_eq!(full, Err(MintError::AccountFull { limit: 4 }));
    let other = AccountName::new("other").expect("valid");
    let full = ledger.mint(second(0), &other, 3);
    assert_eq!(full, Err(MintError::LedgerFull { limit: 6 }));
    assert!(ledger.mint(second(16), &bank(), 4).is_ok());
}

#[test]
fn only_the_holder_burns_a_claim() {
    let mut ledger = ledger(options());
    let ticket = mint(&mut ledger, second(0));
    ledger.claim(second(0), &ticket, &stub("r2", 1));
    let held = BurnVerdict::HeldBy(address("r2"));
    assert_eq!(ledger.burn(second(0), &ticket, &stub("r2", 2)), held);
    assert_eq!(ledger.burn(second(0), &ticket, &stub("r2", 1)), BurnVerdict::Burned);
    assert_eq!(ledger.claim(second(0), &ticket, &stub("r2", 1)), ClaimVerdict::Burned);
}

#[test]
fn an_unminted_sequence_is_not_granted() {
    let mut ledger = ledger(options());
    let mut ticket = mint(&mut ledger, second(0));
    ticket.key.sequence = 77;
    assert_eq!(ledger.claim(second(0), &ticket, &stub("r2", 1)), ClaimVerdict::HomeGone);
}

#[test]
fn a_handed_over_ledger_carries_its_claims_and_its_age() {
    let mut old = LedgerShelf::new(address("r1"), options());
    let mut heir = LedgerShelf::new(address("r2"), options());
    let tickets = old.mint(second(100), &bank(), 2).and_then(Result::ok).expect("room");
    old.claim(second(101), &tickets[0], &stub("r3", 1));
    // The heir's clock reads something else entirely.
    for export in old.hand_over(second(104), &address("r2")) {
        assert!(heir.inherit(second(7), export));
    }
    let held = ClaimVerdict::HeldBy(address("r3"));
    assert_eq!(heir.claim(second(7), &tickets[0], &stub("r4", 1)), held);
    assert_eq!(heir.claim(second(12), &tickets[1], &stub("r4", 2)), ClaimVerdict::Granted);
    let moved = ClaimVerdict::Moved(address("r2"));
    assert_eq!(old.claim(second(105), &tickets[1], &stub("r4", 3)), moved);
    assert!(old.mint(second(105), &bank(), 1).is_none(), "what was given away mints nothing");
}

#[test]
fn a_handed_over_ledger_passes_on_again_and_never_comes_back() {
    let mut first = LedgerShelf::new(address("r1"), options());
    let ticket = first.mint(second(0), &bank(), 1).and_then(Result::ok).expect("room").remove(0);
    let exports = first.hand_over(second(0), &address("r2"));
    let mut heir = LedgerShelf::new(address("r2"), options());
    exports.iter().for_each(|export| assert!(heir.inherit(second(0), export.clone())));
    let mut last = LedgerShelf::new(address("r3"), options());
    for export in heir.hand_over(second(1), &address("r3")) {
        assert!(last.inherit(second(1), export));
    }
    assert!(!heir.inherit(second(2), exports[0].clone()), "a late copy brings nothing back");
    assert_eq!(last.claim(second(2), &ticket, &stub("r4", 1)), ClaimVerdict::Granted);
    assert_eq!(heir.claim(second(2), &ticket, &stub("r5", 1)), ClaimVerdict::HomeGone);
}
