//! Version moves: good versions take over in time, bad ones are left at once and for good.

use std::time::Duration;

use kwg_gate::{MoveBook, MovePhase, ServiceName, VersionFilter, VersionOrder};
use kwg_model::MonoTime;

const LIMIT_S: u64 = 12;

fn order(revision: u64) -> VersionOrder {
    let (service, time_limit) = (ServiceName::new("llm"), Duration::from_secs(LIMIT_S));
    VersionOrder { service, to: "v2".to_owned(), time_limit, revision }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Sends 100 requests a second; `answer` says how long one of a version takes, or that it fails.
/// Returns the phase, when it was reached and how many requests the new version got.
fn play(answer: impl Fn(&str, u64) -> Option<Duration>) -> (MovePhase, u64, u32) {
    let mut book = MoveBook::default();
    book.take_order(&order(1), None, at(0));
    let mut tried = 0;
    for millis in (0..LIMIT_S * 1_000).step_by(10) {
        let draw = (millis as f64 * 0.618_033).fract();
        let version = match book.filter("llm", draw, at(millis)) {
            VersionFilter::Only(_) => "v2",
            _ => "v1",
        };
        tried += u32::from(version == "v2");
        book.note_answer("llm", version, answer(version, millis));
        if let Some(decision) = book.decide(at(millis)).pop() {
            return (decision.phase, millis, tried);
        }
    }
    (MovePhase::Running, LIMIT_S * 1_000, tried)
}

#[test]
fn a_good_version_takes_over_in_time() {
    let (phase, millis, _) = play(|_, millis| {
        (!millis.is_multiple_of(200)).then_some(Duration::from_millis(50 + millis % 70))
    });
    assert_eq!(phase, MovePhase::Completed);
    assert!(millis < LIMIT_S * 1_000);
}

#[test]
fn a_version_that_fails_is_taken_back_after_a_few_requests() {
    let fails = |version: &str, millis: u64| {
        let is_bad = version == "v2" && millis.is_multiple_of(20);
        (!is_bad).then_some(Duration::from_millis(50))
    };
    let (phase, millis, tried) = play(fails);
    assert_eq!(phase, MovePhase::RolledBack);
    assert!(tried < 50 && millis < 5_000, "{tried} requests, {millis} ms");
}

#[test]
fn a_version_that_is_several_times_slower_is_taken_back() {
    let slow =
        |version: &str, _| Some(Duration::from_millis(if version == "v2" { 400 } else { 80 }));
    let (phase, _, tried) = play(slow);
    assert_eq!(phase, MovePhase::RolledBack);
    assert!(tried < 60, "{tried}");
}

#[test]
fn a_version_that_was_taken_back_gets_nothing_and_stays_so() {
    let mut book = MoveBook::default();
    book.take_order(&order(1), Some(MovePhase::RolledBack), at(0));
    book.take_order(&order(1), Some(MovePhase::Running), at(10));
    assert_eq!(book.filter("llm", 0.0, at(20)), VersionFilter::Except("v2"));
    assert!(!book.may_fall_back("llm"));
    assert!(book.decide(at(60_000)).is_empty());
    book.take_order(&order(2), None, at(70_000));
    assert_eq!(book.filter("llm", 0.0, at(70_000)), VersionFilter::Only("v2"), "a new order");
}

#[test]
fn evidence_is_pooled_and_a_phase_spreads() {
    let mut books = [MoveBook::default(), MoveBook::default()];
    for book in &mut books {
        book.take_order(&order(1), None, at(0));
        (0..40).for_each(|_| book.note_answer("llm", "v1", Some(Duration::from_millis(50))));
        (0..2).for_each(|_| book.note_answer("llm", "v2", None));
        assert!(book.decide(at(100)).is_empty(), "two failures may be chance");
    }
    let [first, second] = &mut books;
    second.reports(at(200)).iter().for_each(|report| first.take_report("r2", report, at(200)));
    assert_eq!(first.decide(at(210)).len(), 1, "four are not");
    first.reports(at(220)).iter().for_each(|report| second.take_report("r1", report, at(220)));
    assert_eq!(second.filter("llm", 0.0, at(230)), VersionFilter::Except("v2"));
}
