//! Ticket ledger: expiry, retention, limits and hand-over.

use std::time::Duration;

use kwg_decide::{LedgerOptions, LedgerSet, MintError, Serving, TicketLedger};
use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, InstanceName, MonoTime,
    RevokeVerdict,
};

fn address(name: &str) -> HomeAddress {
    let instance = InstanceName::new(name).expect("valid");
    HomeAddress { instance, incarnation: 1, shard: 0 }
}

fn claim_id(name: &str, attempt: u64) -> ClaimId {
    ClaimId { claimer: address(name), attempt }
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
    ledger.mint(now, &bank(), 1).expect("below the limit").remove(0)
}

fn second(count: u64) -> MonoTime {
    MonoTime::from_millis(count * 1_000)
}

#[test]
fn an_expired_ticket_is_revoked_and_one_past_retention_is_forgotten() {
    let mut ledger = ledger(options());
    let (early, late) = (mint(&mut ledger, second(0)), mint(&mut ledger, second(0)));
    assert_eq!(ledger.claim(second(11), &early, &claim_id("r2", 1)), ClaimVerdict::Revoked);
    assert_eq!(ledger.claim(second(16), &late, &claim_id("r2", 2)), ClaimVerdict::Forgotten);
    assert_eq!(ledger.revoke(second(16), &late, &claim_id("r2", 3)), RevokeVerdict::Forgotten);
}

#[test]
fn a_claim_is_recorded_beyond_the_lifetime() {
    let mut ledger = ledger(options());
    let ticket = mint(&mut ledger, second(0));
    assert_eq!(ledger.claim(second(9), &ticket, &claim_id("r2", 1)), ClaimVerdict::Granted);
    ledger.evict_expired(second(14));
    let held = ClaimVerdict::HeldBy(address("r2"));
    assert_eq!(ledger.claim(second(14), &ticket, &claim_id("r3", 1)), held);
    ledger.evict_expired(second(16));
    assert_eq!(ledger.entry_count(), 0, "entries past retention are dropped");
    assert_eq!(ledger.claim(second(16), &ticket, &claim_id("r3", 2)), ClaimVerdict::Forgotten);
}

#[test]
fn limits_are_enforced_until_tickets_pass_retention() {
    let mut ledger = ledger(options());
    ledger.mint(second(0), &bank(), 4).expect("below the limit");
    let full = ledger.mint(second(0), &bank(), 1);
    assert_eq!(full, Err(MintError::AccountFull { limit: 4 }));
    let other = AccountName::new("other").expect("valid");
    let full = ledger.mint(second(0), &other, 3);
    assert_eq!(full, Err(MintError::LedgerFull { limit: 6 }));
    assert!(ledger.mint(second(16), &bank(), 4).is_ok());
}

#[test]
fn only_the_holder_revokes_a_claimed_ticket() {
    let mut ledger = ledger(options());
    let ticket = mint(&mut ledger, second(0));
    ledger.claim(second(0), &ticket, &claim_id("r2", 1));
    let held = RevokeVerdict::HeldBy(address("r2"));
    assert_eq!(ledger.revoke(second(0), &ticket, &claim_id("r2", 2)), held);
    assert_eq!(ledger.revoke(second(0), &ticket, &claim_id("r2", 1)), RevokeVerdict::Revoked);
    assert_eq!(ledger.claim(second(0), &ticket, &claim_id("r2", 1)), ClaimVerdict::Revoked);
}

#[test]
fn a_sequence_number_that_was_never_minted_is_not_granted() {
    let mut ledger = ledger(options());
    let mut ticket = mint(&mut ledger, second(0));
    ticket.key.sequence = 77;
    assert_eq!(ledger.claim(second(0), &ticket, &claim_id("r2", 1)), ClaimVerdict::HomeEnded);
}

#[test]
fn a_handed_over_ledger_keeps_its_claims_and_ticket_ages() {
    let mut old = LedgerSet::new(address("r1"), options());
    let mut successor = LedgerSet::new(address("r2"), options());
    let tickets = old.mint(second(100), &bank(), 2).and_then(Result::ok).expect("below the limit");
    old.claim(second(101), &tickets[0], &claim_id("r3", 1));
    // The successor's clock is unrelated to the home's.
    for export in old.hand_over(second(104), &address("r2")) {
        assert!(successor.inherit(second(7), export));
    }
    let held = ClaimVerdict::HeldBy(address("r3"));
    assert_eq!(successor.claim(second(7), &tickets[0], &claim_id("r4", 1)), held);
    assert_eq!(successor.claim(second(12), &tickets[1], &claim_id("r4", 2)), ClaimVerdict::Granted);
    let moved = ClaimVerdict::Moved(address("r2"));
    assert_eq!(old.claim(second(105), &tickets[1], &claim_id("r4", 3)), moved);
    assert!(old.mint(second(105), &bank(), 1).is_none(), "a handed over ledger mints nothing");
}

#[test]
fn a_ledger_can_be_handed_over_again_but_never_returns() {
    let mut first = LedgerSet::new(address("r1"), options());
    let ticket =
        first.mint(second(0), &bank(), 1).and_then(Result::ok).expect("below the limit").remove(0);
    let exports = first.hand_over(second(0), &address("r2"));
    let mut successor = LedgerSet::new(address("r2"), options());
    exports.iter().for_each(|export| assert!(successor.inherit(second(0), export.clone())));
    let mut last = LedgerSet::new(address("r3"), options());
    for export in successor.hand_over(second(1), &address("r3")) {
        assert!(last.inherit(second(1), export));
    }
    assert!(
        !successor.inherit(second(2), exports[0].clone()),
        "a late duplicate does not restore the ledger"
    );
    assert_eq!(last.claim(second(2), &ticket, &claim_id("r4", 1)), ClaimVerdict::Granted);
    assert_eq!(successor.claim(second(2), &ticket, &claim_id("r5", 1)), ClaimVerdict::HomeEnded);
}
