//! When a target counts as cold, what an instance may send to it then, and what it is left out of.

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    AttemptSample, CallerLimits, ColdNotice, ColdOptions, ColdRule, DomainMap, GateCore,
    GateDigest, GateOptions, InstanceMap, PlacementOutcome, RouteTable, ServiceName, TargetEntry,
    TargetId, TargetKey, TargetRegistry,
};
use kwg_model::MonoTime;

use support::{place, send, start};

mod support;

const COLD: Duration = Duration::from_secs(8);
/// 21.5 requests in any one second, of which one view of the fleet uses 7.
const OPTIONS: ColdOptions = ColdOptions { overshoot: 1.5, slack: 5.0 };
const SHARE: u32 = 7;
/// The span within which an instance sends no more than its share.
const SPAN: Duration = Duration::from_millis(1_150);

fn after(millis: u64) -> MonoTime {
    start() + Duration::from_millis(millis)
}

/// A target with many slots.
fn entry(number: u8, born: u64, left_ms: Option<u64>, sequence: u64) -> TargetEntry {
    let entry = support::registry(number + 1);
    let entry = entry.get(&TargetId::new(&format!("i-{number}"))).expect("listed").clone();
    let cold = ColdNotice::written(left_ms.map(Duration::from_millis), sequence);
    TargetEntry { born, cold, slots: 50, ..entry }
}

/// An instance that is alone, for a service with a limit, some time after its start.
struct Site {
    core: GateCore,
    registry: TargetRegistry,
    number: u64,
}

impl Site {
    fn new(entries: Vec<TargetEntry>) -> Self {
        let mut site = Self::starting(entries);
        (0..15).for_each(|step| site.core.claim_slots(0.5, after(step * 200)));
        site
    }

    /// An instance that has just started.
    fn starting(entries: Vec<TargetEntry>) -> Self {
        let domains = DomainMap { own: "a".to_owned(), ..DomainMap::default() };
        let options = GateOptions { domains, cold: OPTIONS, ..GateOptions::default() };
        let mut core = GateCore::new(options);
        core.set_table(&Arc::new(table(1, ColdRule::of(COLD, 11.0))));
        let mut registry = TargetRegistry::default();
        registry.replace(1, entries, start());
        core.set_registry(&Arc::new(registry.clone()));
        let mut site = Self { core, registry, number: 0 };
        site.set_instances(&["own"]);
        site
    }

    fn set_instances(&mut self, names: &[&str]) {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        let domains = [("a".to_owned(), names)].into();
        self.core.set_instances(&InstanceMap { own: "own".to_owned(), domains });
    }

    fn apply(&mut self, entry: TargetEntry, now: MonoTime) {
        self.registry.apply(2, &entry.id.clone(), Some(entry), now);
        self.core.set_registry(&Arc::new(self.registry.clone()));
    }

    fn key(&self, number: u8) -> TargetKey {
        let id = TargetId::new(&format!("i-{number}"));
        self.core.targets().key(&id).expect("known")
    }

    fn is_cold(&self, number: u8, now: MonoTime) -> bool {
        self.core.targets().is_cold(self.key(number), now)
    }

    /// Sends the share of this instance to a cold target.
    fn use_up(&mut self, number: u8, now: MonoTime) {
        let (key, targets) = (self.key(number), self.core.targets_mut());
        for _ in 0..SHARE {
            targets.begin_attempt(key, 0);
            targets.record_sent(key, now);
            targets.end_attempt(key);
        }
    }

    /// Number of requests that are sent at one moment, and end at once.
    fn burst(&mut self, now: MonoTime) -> u32 {
        for count in 0..100 {
            self.number += 1;
            let PlacementOutcome::Placed(placed) = place(&mut self.core, self.number, now) else {
                return count;
            };
            let target = placed.dispatch().placement().target;
            self.core.targets_mut().begin_attempt(target, 0);
            self.core.targets_mut().record_sent(target, now);
            self.core.targets_mut().end_attempt(target);
        }
        100
    }
}

fn table(version: u64, cold: Option<ColdRule>) -> RouteTable {
    let core = support::core(1, support::STREAM);
    let known = core.table().expect("a table");
    let service = ServiceName::new("llm");
    let kwg_gate::RouteMatch::Served { route, .. } = known.find("h", "/a", None) else {
        panic!("a route");
    };
    let rule = known.service(&service).expect("a service");
    let rule = kwg_gate::ServiceRule { cold, ..rule.clone() };
    RouteTable::new(version, [route.clone()], [rule], [], CallerLimits::default())
}

#[test]
fn a_new_run_is_cold_for_the_time_that_its_entry_says() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let now = after(3_000);
    assert!(!site.is_cold(0, now));
    site.apply(entry(0, 2, Some(2_500), 1), now);
    assert!(site.is_cold(0, now + Duration::from_millis(2_499)));
    assert!(!site.is_cold(0, now + Duration::from_millis(2_500)));
}

#[test]
fn a_new_run_is_cold_for_the_time_of_its_service_if_its_entry_does_not_say() {
    let mut site = Site::new(vec![entry(0, 1, None, 1)]);
    let now = after(3_000);
    assert!(!site.is_cold(0, now), "it was there when this instance started");
    site.apply(entry(0, 2, None, 1), now);
    assert!(site.is_cold(0, now + (COLD - Duration::from_millis(1))));
    assert!(!site.is_cold(0, now + COLD));
    let moved =
        TargetEntry { address: "127.0.0.9:9".parse().expect("valid"), ..entry(0, 2, None, 1) };
    site.apply(moved, now + COLD);
    assert!(site.is_cold(0, now + COLD), "another address is another run");
}

#[test]
fn an_entry_of_the_first_reading_says_how_long_its_target_is_cold() {
    let site = Site::new(vec![entry(0, 1, Some(4_000), 1)]);
    assert!(site.is_cold(0, after(3_999)));
    assert!(!site.is_cold(0, after(4_000)));
}

/// An entry that is read again must not make its target cold for ever, and one that is written again must.
#[test]
fn an_entry_counts_from_its_arrival_once() {
    let mut site = Site::new(vec![entry(0, 1, Some(2_000), 1)]);
    site.apply(entry(0, 1, Some(2_000), 1), after(1_000));
    assert!(!site.is_cold(0, after(2_000)), "the same entry once more");
    site.apply(entry(0, 1, Some(2_000), 2), after(3_000));
    assert!(site.is_cold(0, after(4_999)), "it is cold again");
    site.apply(entry(0, 1, None, 3), after(3_500));
    assert!(site.is_cold(0, after(4_999)), "an entry that does not say changes nothing");
    site.apply(entry(0, 1, Some(0), 4), after(4_000));
    assert!(!site.is_cold(0, after(4_000)), "it says that it is warm");
}

#[test]
fn a_cold_target_gets_the_share_of_the_instance_and_no_more_in_any_second() {
    let mut site = Site::new(vec![entry(0, 1, Some(60_000), 1)]);
    let now = after(3_000);
    assert_eq!(site.burst(now), SHARE);
    assert_eq!(site.burst(now + (SPAN - Duration::from_millis(1))), 0);
    assert_eq!(site.burst(now + SPAN), SHARE);
    let waiting = place(&mut site.core, 99, now + SPAN);
    assert!(matches!(waiting, PlacementOutcome::Waiting(..)), "it still serves: {waiting:?}");
}

#[test]
fn without_a_limit_cold_targets_get_what_they_have_slots_for() {
    let mut site = Site::new(vec![entry(0, 1, Some(60_000), 1)]);
    site.core.set_table(&Arc::new(table(2, None)));
    assert_eq!(site.burst(after(3_000)), 100);
    assert!(!site.is_cold(0, after(3_000)));
}

/// What was sent just before the entry of a target that turned cold again arrives counts as well.
#[test]
fn what_was_sent_before_a_target_was_known_to_be_cold_counts() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let now = after(3_000);
    for number in 0..5 {
        let session = send(&mut site.core, number, now);
        site.core.targets_mut().record_sent(session.placement().target, now);
    }
    site.apply(entry(0, 1, Some(9_000), 2), now);
    assert_eq!(site.burst(now), SHARE - 5);
}

/// Requests that have a place when the target turns out to be cold are withheld beyond the share, and that is no failure
/// of the target.
#[test]
fn requests_that_are_being_connected_when_a_target_turns_cold_are_withheld() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let now = after(3_000);
    let sessions: Vec<_> = (0..20).map(|number| send(&mut site.core, number, now)).collect();
    site.apply(entry(0, 1, Some(9_000), 2), now);
    let mut sent = 0;
    for session in sessions {
        let target = session.placement().target;
        if session.may_reach(&site.core, target, now) {
            site.core.targets_mut().record_sent(target, now);
            sent += 1;
        } else {
            site.core.targets_mut().record_unsent(target);
            let evidence = kwg_gate::AttemptEvidence::NotSent;
            session.close(&mut site.core, evidence, now);
        }
    }
    assert_eq!(sent, SHARE);
    assert_eq!(site.burst(now + SPAN), SHARE, "the target does not count as failing");
}

#[test]
fn a_target_that_broke_a_connection_is_limited_until_it_is_known_not_to_have_started_again() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let now = after(3_000);
    let key = site.key(0);
    site.core.targets_mut().record_break(key, now);
    assert!(site.is_cold(0, now));
    // An entry that arrives at once may have been written before the break.
    site.apply(entry(0, 1, Some(0), 2), now + Duration::from_millis(500));
    assert!(site.is_cold(0, now + Duration::from_millis(500)));
    site.apply(entry(0, 1, Some(0), 3), now + Duration::from_millis(1_500));
    assert!(!site.is_cold(0, now + Duration::from_millis(1_500)), "a newer entry says so");
    // Without a newer entry: as long as a target that has come back is cold.
    let again = after(10_000);
    site.core.targets_mut().record_break(key, again);
    assert!(site.is_cold(0, again + COLD));
    assert!(!site.is_cold(0, again + COLD + Duration::from_secs(4)));
}

#[test]
fn a_target_that_answers_a_request_from_before_the_break_has_not_started_again() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let (now, key) = (after(3_000), site.key(0));
    site.core.targets_mut().record_break(key, now);
    let answer = |hold| AttemptSample { hold: Duration::from_millis(hold), ..Default::default() };
    let later = now + Duration::from_millis(300);
    site.core.targets_mut().record_success(key, &answer(200), later);
    assert!(site.is_cold(0, later), "the request was sent after the break");
    site.core.targets_mut().record_success(key, &answer(400), later);
    assert!(!site.is_cold(0, later), "it was sent before");
}

#[test]
fn a_reply_that_says_that_its_target_is_cold_limits_it_at_once() {
    let mut site = Site::new(vec![entry(0, 1, Some(0), 1)]);
    let (now, key) = (after(3_000), site.key(0));
    site.core.targets_mut().record_cold(key, Duration::from_secs(5), now);
    assert!(site.is_cold(0, now + Duration::from_millis(4_999)));
    assert!(!site.is_cold(0, now + Duration::from_secs(5)));
}

/// Waiting requests must not be held, or woken, for slots that they will not get.
#[test]
fn cold_capacity_is_left_out_of_free_slots_and_of_predictions() {
    let mut site = Site::new(vec![entry(0, 1, Some(60_000), 1), entry(1, 1, Some(0), 1)]);
    let now = after(3_000);
    assert_eq!(site.core.targets().free_slots("llm", now), 50, "those of the warm target");
    assert_eq!(site.core.targets().cold_room("llm", None, now), SHARE);
    site.use_up(0, now);
    assert_eq!(site.core.targets().cold_room("llm", None, now), 0);
    // The warm target is full: the expected time is that of the warm target.
    let slow = AttemptSample {
        event_gap: Some(Duration::from_millis(500)),
        tokens_per_event: 1.0,
        ..AttemptSample::default()
    };
    let warm = site.key(1);
    (0..50).for_each(|_| site.core.targets_mut().record_success(warm, &slow, now));
    (0..50).for_each(|_| site.core.targets_mut().begin_attempt(warm, 0));
    let waiting = place(&mut site.core, 99, now);
    let PlacementOutcome::Waiting(_, until) = waiting else { panic!("{waiting:?}") };
    assert!(until < now + Duration::from_millis(350), "500 ms for an event at the warm target");
}

#[test]
fn an_instance_that_has_heard_nobody_sends_nothing_to_cold_targets() {
    let mut site = Site::starting(vec![entry(0, 1, Some(60_000), 1)]);
    site.set_instances(&["own", "peer"]);
    (0..20).for_each(|step| site.core.claim_slots(0.5, after(step * 200)));
    assert_eq!(site.burst(after(4_000)), 0);
    let digest = GateDigest { run: 1, members: 1, ..GateDigest::default() };
    for step in 20..26 {
        site.core.apply_digest("peer", &digest, after(step * 200));
        site.core.claim_slots(0.5, after(step * 200));
    }
    assert_eq!(site.burst(after(5_000)), 0, "what it sent before its start is not known");
    for step in 26..36 {
        site.core.apply_digest("peer", &digest, after(step * 200));
        site.core.claim_slots(0.5, after(step * 200));
    }
    let sent = site.burst(after(7_000));
    assert!((1..SHARE).contains(&sent), "its part of the share: {sent}");
    // The peer is cut off: both are half of the fleet.
    for step in 36..50 {
        site.core.drop_silent_peers(after(step * 200));
        site.core.claim_slots(0.5, after(step * 200));
    }
    assert_eq!(site.burst(after(10_000)), sent, "the peer is still listed");
    site.set_instances(&["own"]);
    assert_eq!(site.burst(after(11_200)), sent, "the peer may not know that yet");
    (55..70).for_each(|step| site.core.claim_slots(0.5, after(step * 200)));
    assert_eq!(site.burst(after(14_000)), SHARE, "a half of the bound is more than a third");
}

#[test]
fn changes_are_told_once() {
    let mut site = Site::new(vec![entry(0, 1, Some(4_000), 1)]);
    let changes = site.core.take_cold_changes(after(3_000));
    let change = &changes[..1][0];
    assert_eq!((change.left, change.share), (Some(Duration::from_secs(1)), SHARE));
    assert!(!change.is_suspected);
    assert!(site.core.take_cold_changes(after(3_500)).is_empty());
    assert_eq!(site.core.take_cold_changes(after(4_000))[0].left, None);
    let key = site.key(0);
    site.core.targets_mut().record_break(key, after(5_000));
    assert!(site.core.take_cold_changes(after(5_000))[0].is_suspected);
}

#[test]
fn placements_that_pass_over_a_cold_target_are_counted() {
    let mut site = Site::new(vec![entry(0, 1, Some(60_000), 1), entry(1, 1, Some(0), 1)]);
    let now = after(3_000);
    assert_eq!(site.burst(now), 100);
    assert_eq!(site.core.take_passed_cold(), 0, "it has some of its share left");
    site.use_up(0, now);
    assert_eq!(site.burst(now), 100);
    assert_eq!(site.core.take_passed_cold(), 100);
    assert_eq!(site.core.take_passed_cold(), 0);
}

/// A target that refuses connections is suspected, and must still be paused by its failures.
#[test]
fn a_target_that_refuses_connections_is_paused_although_it_is_cold() {
    let mut site = Site::new(vec![entry(0, 1, Some(60_000), 1), entry(1, 1, Some(60_000), 1)]);
    let now = after(3_000);
    let sessions: Vec<_> = (0..2).map(|number| send(&mut site.core, number, now)).collect();
    let preferred = sessions[0].placement().target;
    for session in sessions {
        let target = session.placement().target;
        assert_eq!(target, preferred);
        site.core.targets_mut().record_break(target, now);
        site.core.targets_mut().record_unsent(target);
        site.core.targets_mut().end_attempt(target);
        session.close(&mut site.core, kwg_gate::AttemptEvidence::NotSent, now);
    }
    for number in 10..13 {
        let session = send(&mut site.core, number, now);
        assert_ne!(session.placement().target, preferred, "it has failed twice");
    }
}
