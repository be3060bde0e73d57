//! Load patterns replayed against the gateway's decisions. Each test holds a promise to callers for
//! one pattern.

use kwg_bench::{ClassTally, LoadPattern, OverloadReplay, OverloadTally, RequestClass};

/// Length of a replay, in milliseconds.
const LENGTH_MS: u64 = 14_000;

fn replay(name: &str, seed: u64) -> OverloadTally {
    let pattern = LoadPattern::all().into_iter().find(|pattern| pattern.name == name);
    let pattern = LoadPattern { length_ms: LENGTH_MS, ..pattern.expect("a known pattern") };
    OverloadReplay::run(&pattern, seed)
}

fn class(tally: &OverloadTally, name: &str) -> ClassTally {
    let index = RequestClass::ALL.iter().position(|class| class.name == name);
    tally.classes[index.expect("a known class")]
}

/// A plain service with fewer slots than instances: 24 slots behind 96 instances, half of them in
/// use. When each slot had an owner, and any waiting request in the fleet made the others claim
/// theirs, 4 in 10 calls were refused beside idle slots.
#[test]
fn a_small_service_behind_many_instances_is_not_refused_beside_idle_slots() {
    let tally = replay("large steady 0.8", 1);
    let open = class(&tally, "open");
    assert_eq!(open.refused_idle, 0, "{tally}");
    assert!(open.timely() > 0.95, "{tally}");
}

/// No request of a steady load that the targets can bear is refused, in a small and a large fleet.
#[test]
fn a_load_below_the_capacity_is_served() {
    for name in ["steady 0.8", "large steady 0.8"] {
        let tally = replay(name, 2);
        let refusals: u32 = tally.classes.iter().map(|class| class.refusals).sum();
        assert_eq!(refusals, 0, "{name}: {tally}");
    }
}

/// In an overload the urgent class is served before the others.
#[test]
fn an_overload_is_borne_by_the_less_urgent() {
    let tally = replay("large steady 1.3", 3);
    let (draft, label) = (class(&tally, "draft"), class(&tally, "label"));
    assert!(draft.served() + 0.05 > label.served(), "{tally}");
    assert!(draft.refusals <= label.refusals, "{tally}");
}
