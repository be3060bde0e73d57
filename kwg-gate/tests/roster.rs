//! Which instances exchange digests, relay for a failure domain, and read the store.

use std::time::Duration;

use kwg_gate::{AccountLabel, AccountUsage, FleetRoster, GateDigest, TargetCode, TargetReport};
use kwg_model::MonoTime;

fn address(number: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// The roster of an instance of domain `a` in a fleet of `each` instances in each of three domains.
fn roster(own: &str, each: u16, now: MonoTime) -> FleetRoster {
    let mut roster = FleetRoster::new(own, "a", now);
    for domain in ["a", "b", "c"] {
        for number in 0..each {
            let name = format!("{domain}-{number:02}");
            roster.record_member(&name, address(number), domain, now);
            let digest = GateDigest { store_answers: true, members: 1, ..GateDigest::default() };
            roster.keep_digest(&name, &digest);
        }
    }
    roster
}

#[test]
fn a_small_fleet_is_a_full_mesh() {
    let now = MonoTime::from_millis(1);
    let roster = roster("a-00", 3, now);
    assert!(roster.is_mesh());
    assert_eq!(roster.neighbours(now).len(), 8);
    assert!(roster.is_store_reader(now) && !roster.is_relay(now));
}

#[test]
fn a_large_fleet_exchanges_digests_within_domains_and_replaces_a_failed_relay() {
    let now = MonoTime::from_millis(1);
    let first = roster("a-00", 10, now);
    assert_eq!(first.neighbours(now).len(), 9);
    assert_eq!(first.contacts(0.5, now).len(), 2, "one in each other domain");
    assert!(first.is_relay(now));
    let mut second = roster("a-01", 10, now);
    assert!(!second.is_relay(now));
    let later = now + Duration::from_millis(1_500);
    for number in 2..10 {
        second.record_member(&format!("a-{number:02}"), address(number), "a", later);
    }
    assert!(second.is_relay(later), "the first relay is silent");
    assert_eq!(second.instances(later).size(), 30, "a silent instance may still be serving");
}

#[test]
fn each_domain_has_two_store_readers_and_replaces_them() {
    let now = MonoTime::from_millis(1);
    let reads = |own: &str, now| roster(own, 10, MonoTime::from_millis(1)).is_store_reader(now);
    assert!(reads("a-00", now) && reads("a-01", now) && !reads("a-02", now));
    let mut third = roster("a-02", 10, now);
    third.keep_digest("a-00", &GateDigest::default());
    assert!(third.is_store_reader(now), "the store does not answer the first reader");
}

#[test]
fn a_short_store_outage_does_not_turn_all_instances_into_readers() {
    let start = MonoTime::from_millis(1);
    let takes_over_after = |own: &str| {
        let mut roster = roster(own, 10, start);
        (0..40).map(|step| Duration::from_millis(100) * step).find(|span| {
            for number in 0..10 {
                let name = format!("a-{number:02}");
                roster.record_member(&name, address(number), "a", start + *span);
                roster.keep_digest(&name, &GateDigest::default());
            }
            roster.is_store_reader(start + *span)
        })
    };
    let delays: Vec<_> = ["a-02", "a-03", "a-05", "a-09"].map(takes_over_after).into();
    assert_eq!(delays[0], Some(Duration::ZERO), "the next name takes over at once");
    assert!(delays.is_sorted() && delays[1] < delays[2], "{delays:?}");
    assert!(
        delays[3].expect("the last name takes over") < Duration::from_millis(2_000),
        "{delays:?}"
    );
}

#[test]
fn a_domain_sum_is_accepted_once_and_from_one_relay_at_a_time() {
    let now = MonoTime::from_millis(1);
    let mut roster = roster("a-00", 10, now);
    assert!(roster.accept_sum("b", "b-00", (7, 1), now));
    assert!(!roster.accept_sum("b", "b-00", (7, 1), now), "known");
    assert!(!roster.accept_sum("b", "b-01", (8, 9), now), "the old relay is still live");
    assert!(roster.accept_sum("b", "b-01", (8, 10), now + Duration::from_millis(1_500)));
    assert!(!roster.accept_sum("a", "a-00", (7, 1), now), "the sum is of the own domain");
}

#[test]
fn the_usage_of_a_silent_instance_stays_in_the_sum_and_its_load_does_not() {
    // An instance that freezes for seconds would otherwise have all of its usage charged again.
    let now = MonoTime::from_millis(1);
    let mut roster = roster("a-00", 10, now);
    let usage = AccountUsage { label: AccountLabel::new("hule"), used: 500_000 };
    let report = TargetReport { running: 3, ..TargetReport::default() };
    let digest = GateDigest {
        members: 1,
        accounts: vec![usage.clone()],
        targets: vec![(TargetCode::of("i-1"), report)],
        ..GateDigest::default()
    };
    roster.keep_digest("a-03", &digest);
    let own = GateDigest { members: 1, ..GateDigest::default() };
    assert_eq!(roster.domain_sum(&own, now).targets.len(), 1);
    let later = now + Duration::from_millis(1_500);
    let sum = roster.domain_sum(&own, later);
    assert_eq!((sum.members, sum.targets.len()), (1, 0));
    assert_eq!(sum.accounts, [usage]);
}
