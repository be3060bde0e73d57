//! Version moves: good versions take over within the time limit. Failing and slow ones are rolled
//! back at once, and the rollback is final.

use std::time::Duration;

use kwg_gate::{MovePhase, MoveTracker, ServiceName, VersionFilter, VersionOrder};
use kwg_model::MonoTime;

const LIMIT_S: u64 = 12;

fn order(revision: u64) -> VersionOrder {
    let (service, time_limit) = (ServiceName::new("llm"), Duration::from_secs(LIMIT_S));
    VersionOrder { service, to: "v2".to_owned(), time_limit, revision }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Simulates 100 requests a second. `answer` returns how long an answer of a version takes, or
/// `None` for a failure. Returns the phase, when it was reached and how many requests the new
/// version got.
fn simulate(answer: impl Fn(&str, u64) -> Option<Duration>) -> (MovePhase, u64, u32) {
    let mut tracker = MoveTracker::default();
    tracker.apply_order(&order(1), None, at(0));
    let mut tried = 0;
    for millis in (0..LIMIT_S * 1_000).step_by(10) {
        let draw = (millis as f64 * 0.618_033).fract();
        let version = match tracker.filter("llm", draw, at(millis)) {
            VersionFilter::Only(_) => "v2",
            _ => "v1",
        };
        tried += u32::from(version == "v2");
        tracker.record_answer("llm", version, answer(version, millis));
        if let Some(decision) = tracker.decide(at(millis)).pop() {
            return (decision.phase, millis, tried);
        }
    }
    (MovePhase::Running, LIMIT_S * 1_000, tried)
}

#[test]
fn a_good_version_takes_over_in_time() {
    let (phase, millis, _) = simulate(|_, millis| {
        (!millis.is_multiple_of(200)).then_some(Duration::from_millis(50 + millis % 70))
    });
    assert_eq!(phase, MovePhase::Completed);
    assert!(millis < LIMIT_S * 1_000);
}

#[test]
fn a_failing_version_is_rolled_back_after_a_few_requests() {
    let fails = |version: &str, millis: u64| {
        let is_bad = version == "v2" && millis.is_multiple_of(20);
        (!is_bad).then_some(Duration::from_millis(50))
    };
    let (phase, millis, tried) = simulate(fails);
    assert_eq!(phase, MovePhase::RolledBack);
    assert!(tried < 50 && millis < 5_000, "{tried} requests, {millis} ms");
}

#[test]
fn a_version_that_is_several_times_slower_is_rolled_back() {
    let slow =
        |version: &str, _| Some(Duration::from_millis(if version == "v2" { 400 } else { 80 }));
    let (phase, _, tried) = simulate(slow);
    assert_eq!(phase, MovePhase::RolledBack);
    assert!(tried < 60, "{tried}");
}

#[test]
fn a_rolled_back_version_gets_no_requests_until_a_new_order() {
    let mut tracker = MoveTracker::default();
    tracker.apply_order(&order(1), Some(MovePhase::RolledBack), at(0));
    tracker.apply_order(&order(1), Some(MovePhase::Running), at(10));
    assert_eq!(tracker.filter("llm", 0.0, at(20)), VersionFilter::Except("v2"));
    assert!(!tracker.may_fall_back("llm"));
    assert!(tracker.decide(at(60_000)).is_empty());
    tracker.apply_order(&order(2), None, at(70_000));
    assert_eq!(tracker.filter("llm", 0.0, at(70_000)), VersionFilter::Only("v2"), "a new order");
}

#[test]
fn reports_of_peers_are_combined_and_a_phase_spreads() {
    let mut trackers = [MoveTracker::default(), MoveTracker::default()];
    for tracker in &mut trackers {
        tracker.apply_order(&order(1), None, at(0));
        (0..40).for_each(|_| tracker.record_answer("llm", "v1", Some(Duration::from_millis(50))));
        (0..2).for_each(|_| tracker.record_answer("llm", "v2", None));
        assert!(tracker.decide(at(100)).is_empty(), "two failures may be chance");
    }
    let [first, second] = &mut trackers;
    second.reports(at(200)).iter().for_each(|report| first.apply_report("r2", report, at(200)));
    assert_eq!(first.decide(at(210)).len(), 1, "four failures roll the version back");
    first.reports(at(220)).iter().for_each(|report| second.apply_report("r1", report, at(220)));
    assert_eq!(second.filter("llm", 0.0, at(230)), VersionFilter::Except("v2"));
}
