//! Target entries: a store outage hides no live target, and a draining target is dropped at once.

use std::time::Duration;

use kwg_gate::{ColdNotice, ServiceName, TargetEntry, TargetId, TargetRegistry};
use kwg_model::MonoTime;

fn entry(id: &str, is_draining: bool) -> TargetEntry {
    TargetEntry {
        id: TargetId::new(id),
        service: ServiceName::new("llm"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "graz".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        is_draining,
        born: 1,
        cold: ColdNotice::default(),
    }
}

fn ids(registry: &TargetRegistry) -> Vec<&str> {
    registry.entries().map(|entry| entry.id.as_str()).collect()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn an_entry_that_is_removed_without_an_outage_is_dropped_at_once() {
    let mut registry = TargetRegistry::default();
    registry.replace(1, [entry("a", false), entry("b", false)], at(0));
    registry.apply(2, &TargetId::new("a"), None, at(10));
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_for_the_grace_period() {
    let mut registry = TargetRegistry::default();
    registry.replace(1, [entry("a", false), entry("b", false), entry("c", true)], at(0));
    registry.record_store_return(at(10_000));
    registry.replace(9, [], at(10_010));
    assert_eq!(ids(&registry), ["a", "b"], "the draining target is dropped");
    registry.apply(10, &TargetId::new("a"), Some(entry("a", false)), at(11_000));
    let due = registry.next_expiry().expect("b has lapsed");
    assert!(due <= at(10_010) + Duration::from_millis(2_500), "the limit for removed targets");
    assert_eq!(registry.expire(due), [TargetId::new("b")]);
    assert_eq!(ids(&registry), ["a"]);
}
