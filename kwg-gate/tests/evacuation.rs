//! A failure domain is evacuated: nothing new is sent to its targets, what runs there goes on, and the capacity
//! there counts neither as free nor, in version moves, as absent.

#[path = "support/replica_fleet.rs"]
mod replica_fleet;
#[path = "support/store_model.rs"]
mod store_model;
mod support;

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    EvacuatedDomains, FinalOutcome, GateCore, PlacementOutcome, RefusalReason, RequestKind,
    SessionStep, StandingSource, StandingState, TargetEntry, TargetId, TargetKey, TargetRegistry,
    TargetWord, VersionPresence,
};
use replica_fleet::ReplicaFleet;
use support::{STREAM, TARGET_LATENCY, core, place, registry, send, start};

const SECOND: Duration = Duration::from_secs(1);

fn evacuate(core: &mut GateCore, domains: &[&str]) {
    core.set_evacuated(&domains.iter().copied().collect());
}

/// Targets `i-0` to `i-3`, the first two in the instance's own domain, the others in another one, with
/// these versions.
fn entries(versions: [&str; 4], is_draining: impl Fn(usize) -> bool) -> Arc<TargetRegistry> {
    let mut entries = TargetRegistry::default();
    let all = registry(4);
    let of_domains = all.entries().enumerate().map(|(number, entry)| TargetEntry {
        domain: if number < 2 { "a" } else { "b" }.to_owned(),
        version: versions[number].to_owned(),
        is_draining: is_draining(number),
        ..entry.clone()
    });
    entries.replace(2, of_domains, start());
    Arc::new(entries)
}

/// A core in domain `a` with two targets there and two in domain `b`.
fn two_domains(kind: RequestKind) -> GateCore {
    let mut core = core(4, kind);
    core.set_registry(&entries(["v1"; 4], |_| false));
    core
}

fn domain(core: &GateCore, target: TargetKey) -> String {
    core.targets().entry(target).expect("known").domain.clone()
}

/// The domain of the target to which the next request goes, which occupies a slot; none if it goes nowhere.
fn next_domain(core: &mut GateCore, number: u64) -> Option<String> {
    let PlacementOutcome::Placed(placed) = place(core, number, start()) else { return None };
    let target = placed.dispatch().placement().target;
    core.targets_mut().begin_attempt(target, 0);
    Some(domain(core, target))
}

#[test]
fn nothing_new_is_sent_to_an_evacuated_domain_also_if_it_is_the_own_one() {
    for (evacuated, other) in [("a", "b"), ("b", "a")] {
        let mut core = two_domains(RequestKind::Idempotent);
        evacuate(&mut core, &[evacuated]);
        // As many as there are slots.
        for number in 0..4 {
            assert_eq!(next_domain(&mut core, number).as_deref(), Some(other));
        }
        assert_eq!(next_domain(&mut core, 9), None, "it waits rather than go there");
        assert_eq!(core.targets().free_slots("llm", start()), 0, "no capacity is free");
        // A copy of the registry, and targets that start there meanwhile, change nothing.
        core.set_registry(&entries(["v1"; 4], |_| false));
        assert_eq!(next_domain(&mut core, 10), None);
        evacuate(&mut core, &[]);
        assert_eq!(next_domain(&mut core, 11).as_deref(), Some(evacuated), "it serves again");
    }
}

#[test]
fn requests_that_run_there_go_on_and_are_not_handed_over_to_it() {
    let mut core = two_domains(STREAM);
    let session = send(&mut core, 1, start());
    let own = domain(&core, session.placement().target);
    evacuate(&mut core, &["a", "b"]);
    assert!(session.reserve(&core, 0.5, start() + SECOND).is_none(), "no second target");
    evacuate(&mut core, &[&own]);
    let reserved = session.reserve(&core, 0.5, start() + SECOND).expect("the other domain");
    assert_ne!(domain(&core, reserved.placement().target), own);
    assert!(!session.may_reach(&core, session.placement().target, start()), "nothing new");
}

#[test]
fn a_request_that_was_placed_before_is_not_sent_after() {
    let mut core = two_domains(RequestKind::NonIdempotent);
    let PlacementOutcome::Placed(placed) = place(&mut core, 1, start()) else { panic!("free") };
    let session = placed.dispatch();
    let target = session.placement().target;
    assert!(session.may_reach(&core, target, start()));
    let evacuated = domain(&core, target);
    evacuate(&mut core, &[&evacuated]);
    assert!(!session.may_reach(&core, target, start()));
    let step = session.close(&mut core, kwg_gate::AttemptEvidence::NotSent, start());
    let SessionStep::Retry(session) = step else { panic!("it is placed again: {step:?}") };
    let PlacementOutcome::Placed(placed) = session.place(&mut core, 0.5, start()) else {
        panic!("the other domain has slots")
    };
    assert_ne!(domain(&core, placed.dispatch().placement().target), evacuated);
}

#[test]
fn while_all_domains_are_evacuated_requests_wait_as_long_as_they_can_be_on_time() {
    let mut core = two_domains(RequestKind::Idempotent);
    evacuate(&mut core, &["a", "b"]);
    let PlacementOutcome::Waiting(session, until) = place(&mut core, 1, start()) else {
        panic!("it waits")
    };
    assert!(until > start() && until <= start() + TARGET_LATENCY, "{until:?}");
    let PlacementOutcome::Refused(outcome) = session.place(&mut core, 0.5, until) else {
        panic!("it is refused")
    };
    let FinalOutcome::Refused { reason, retry_after } = outcome else { panic!("{outcome:?}") };
    assert_eq!(reason, RefusalReason::NoTarget);
    assert!(retry_after.is_some());
    // Once it is taken back, a waiting request is served.
    let PlacementOutcome::Waiting(session, _) = place(&mut core, 2, start()) else { panic!() };
    evacuate(&mut core, &["a"]);
    assert!(matches!(session.place(&mut core, 0.5, start()), PlacementOutcome::Placed(_)));
}

#[test]
fn a_service_without_any_target_is_refused_at_once_as_before() {
    let mut core = two_domains(RequestKind::Idempotent);
    evacuate(&mut core, &["a", "b"]);
    core.set_registry(&Arc::default());
    assert!(matches!(place(&mut core, 1, start()), PlacementOutcome::Refused(_)));
    // Draining targets do not come back.
    core.set_registry(&entries(["v1"; 4], |_| true));
    assert!(matches!(place(&mut core, 2, start()), PlacementOutcome::Refused(_)));
}

#[test]
fn a_domain_that_no_target_names_changes_nothing_until_one_starts_there() {
    let mut core = two_domains(RequestKind::Idempotent);
    evacuate(&mut core, &["c"]);
    let domains: Vec<_> = (0..8).filter_map(|number| next_domain(&mut core, number)).collect();
    assert_eq!(domains.len(), 8, "all slots are used");
    let moved = |entry: &TargetEntry| TargetEntry { domain: "c".to_owned(), ..entry.clone() };
    let mut started = TargetRegistry::default();
    started.replace(3, registry(2).entries().map(moved), start());
    core.set_registry(&Arc::new(started));
    assert_eq!(next_domain(&mut core, 9), None);
}

#[test]
fn an_evacuation_and_words_of_targets_hold_beside_each_other() {
    let mut core = two_domains(RequestKind::Idempotent);
    let target = send(&mut core, 1, start()).placement().target;
    let evacuated = domain(&core, target);
    evacuate(&mut core, &[&evacuated]);
    let source = StandingSource::Evacuation;
    let state = core.targets().standing(target, start());
    assert_eq!(state, Some(StandingState::Leaving { source, since: None }));
    core.targets_mut().record_word(target, TargetWord { is_leaving: true, pause: None }, start());
    evacuate(&mut core, &[]);
    let state = core.targets().standing(target, start());
    assert!(matches!(state, Some(StandingState::Leaving { source: StandingSource::Target, .. })));
    // A drain in the store and an evacuation of the rest: nothing takes requests.
    core.set_registry(&entries(["v1"; 4], |number| number >= 2));
    evacuate(&mut core, &["a"]);
    assert_eq!(next_domain(&mut core, 5), None);
    evacuate(&mut core, &[]);
    assert_eq!(next_domain(&mut core, 6).as_deref(), Some("a"), "but not the draining ones");
}

/// Guards against a move that is rolled back because its version has no targets, or completed because nothing runs
/// at the old ones.
#[test]
fn evacuated_targets_are_neither_absent_from_a_move_nor_idle() {
    let service = kwg_gate::ServiceName::new("llm");
    let mut core = core(4, RequestKind::Idempotent);
    core.set_registry(&entries(["v1", "v1", "v2", "v2"], |_| false));
    evacuate(&mut core, &["b"]);
    let presence = |core: &GateCore| core.targets().presence(&service, "v2", start());
    assert_eq!(presence(&core), VersionPresence::Beside, "v2 is there");
    assert_eq!(core.targets().running_on_others(&service, "v2", start()), 0);
    evacuate(&mut core, &["a"]);
    assert_eq!(core.targets().running_on_others(&service, "v2", start()), 1, "v1 is needed");
    // Those that drain as well are on their way out.
    core.set_registry(&entries(["v1", "v1", "v2", "v2"], |number| number < 2));
    assert_eq!(core.targets().running_on_others(&service, "v2", start()), 0);
    core.set_registry(&entries(["v1", "v1", "v2", "v2"], |number| number >= 2));
    evacuate(&mut core, &["b"]);
    assert_eq!(presence(&core), VersionPresence::Absent);
}

#[test]
fn a_domain_is_evacuated_twice_in_a_row() {
    let mut core = two_domains(RequestKind::Idempotent);
    for round in 0..2 {
        evacuate(&mut core, &["a"]);
        evacuate(&mut core, &["a"]);
        assert_eq!(next_domain(&mut core, 10 * round).as_deref(), Some("b"));
        evacuate(&mut core, &[]);
        assert_eq!(next_domain(&mut core, 10 * round + 1).as_deref(), Some("a"));
    }
    assert_eq!(EvacuatedDomains::default().count(), 0);
}

const ROW: &str = "evacuate/graz";
/// Time within which a row is known to instances in touch.
const KNOWN_LIMIT: Duration = Duration::from_secs(2);

/// Whether each instance has the row.
fn known(fleet: &ReplicaFleet) -> Vec<bool> {
    fleet.nodes.iter().map(|node| node.replica.mirror().row_revision(ROW) > 0).collect()
}

#[test]
fn an_evacuation_that_is_taken_back_in_an_outage_ends_everywhere() {
    let mut fleet = ReplicaFleet::new(9, &["t1"], 1);
    fleet.run(8 * SECOND);
    fleet.store.write(ROW, Some(b"{}"));
    fleet.run(KNOWN_LIMIT);
    assert_eq!(known(&fleet), [true; 9]);
    // Most instances lose the store, and the row is removed; some start again meanwhile.
    fleet.nodes[1..].iter_mut().for_each(|node| node.is_cut = true);
    (1..9).for_each(|node| fleet.kill_connection(node));
    fleet.run(SECOND);
    fleet.store.write(ROW, None);
    fleet.run(3 * SECOND);
    assert_eq!(known(&fleet), [false; 9], "peers tell");
    fleet.restart(0);
    fleet.restart(5);
    fleet.store.is_silent = true;
    fleet.run(5 * SECOND);
    assert_eq!(known(&fleet), [false; 9]);
    fleet.store.is_silent = false;
    fleet.nodes.iter_mut().for_each(|node| node.is_cut = false);
    for _ in 0..2_000 {
        fleet.step();
        assert!(!known(&fleet).contains(&true), "back at {:?}", fleet.now);
    }
}

#[test]
fn a_stale_reading_neither_brings_an_evacuation_back_nor_takes_it_away() {
    for is_evacuated in [true, false] {
        let mut fleet = ReplicaFleet::new(3, &["t1"], 2);
        fleet.run(8 * SECOND);
        if !is_evacuated {
            fleet.store.write(ROW, Some(b"{}"));
            fleet.run(KNOWN_LIMIT);
        }
        // Readings show the moment before the change.
        fleet.store.freeze_reads();
        fleet.store.write(ROW, is_evacuated.then_some(b"{}".as_slice()));
        fleet.run(KNOWN_LIMIT);
        assert_eq!(known(&fleet), [is_evacuated; 3]);
        // The feeds break off, so that the tables are read again.
        fleet.store.compact();
        fleet.break_connections();
        for _ in 0..500 {
            fleet.step();
            assert_eq!(known(&fleet), [is_evacuated; 3], "at {:?}", fleet.now);
        }
        // An instance that starts reads the stale rows, and peers put it right within the limit.
        fleet.restart(2);
        fleet.run(KNOWN_LIMIT);
        assert_eq!(known(&fleet), [is_evacuated; 3]);
        assert!(fleet.nodes[2].registry.get(&TargetId::new("t1")).is_some());
    }
}
