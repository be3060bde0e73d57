//! What targets say of themselves in their answers, while the store is silent.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use kwg_standin::{RunnerMode, StoreMode};
use support::{TestFleet, call_at, request};

/// Time after the first answer that says so within which the last request reaches a target that leaves.
const WORD_LIMIT: Duration = Duration::from_millis(500);

/// Calls all at once, which spreads them over the targets.
fn calls(fleet: &TestFleet, first: usize, count: usize) -> Vec<u16> {
    let paths = ["/scan/a", "/open/a", "/stream/draft/a", "/stream/digest/a"];
    let front = fleet.gateway.front;
    let call = |number: usize| {
        let path = paths[number % paths.len()];
        let text = request("POST", path, &format!("r{number}"));
        thread::spawn(move || {
            let answer = call_at(front, text.as_bytes());
            assert!(answer.is_complete || answer.status != 200, "{path}: {}", answer.text());
            answer.status
        })
    };
    let threads: Vec<_> = (first..first + count).map(call).collect();
    threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
}

#[test]
fn nothing_is_sent_to_targets_that_say_that_they_leave_while_the_store_is_silent() {
    for mode in [RunnerMode::Leaving, RunnerMode::DeclineLeaving] {
        let fleet = TestFleet::start("leaving", 3);
        fleet.store.set_mode(StoreMode::Unresponsive);
        let (leaving, staying) = fleet.runners.split_at(2);
        leaving.iter().for_each(|runner| runner.set_mode(mode));
        // Until both have said it.
        let started = Instant::now();
        let mut number = 0;
        while leaving.iter().any(|runner| runner.received().is_empty()) {
            assert!(started.elapsed() < Duration::from_secs(5), "{mode:?}: both are used");
            let statuses = calls(&fleet, number, 12);
            assert!(statuses.iter().all(|status| *status == 200), "{mode:?}: {statuses:?}");
            number += 12;
        }
        thread::sleep(WORD_LIMIT);
        let before: usize = leaving.iter().map(|runner| runner.received().len()).sum();
        for _ in 0..10 {
            let statuses = calls(&fleet, number, 6);
            assert!(statuses.iter().all(|status| *status == 200), "{mode:?}: {statuses:?}");
            number += 6;
        }
        let after: usize = leaving.iter().map(|runner| runner.received().len()).sum();
        assert_eq!(before, after, "{mode:?}");
        assert!(staying[0].received().len() >= 40);
    }
}

#[test]
fn a_target_gets_no_more_than_two_requests_in_its_pause() {
    let fleet = TestFleet::start("pause", 2);
    fleet.runners[0].set_mode(RunnerMode::Pause(1_500));
    let started = Instant::now();
    let mut number = 0;
    while fleet.runners[0].received().is_empty() {
        assert!(started.elapsed() < Duration::from_secs(5), "it is used");
        calls(&fleet, number, 6);
        number += 6;
    }
    let paused = Instant::now();
    let before = fleet.runners[0].received().len();
    while paused.elapsed() < Duration::from_millis(1_300) {
        let statuses = calls(&fleet, number, 4);
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        number += 4;
    }
    let reached = fleet.runners[0].received().len() - before;
    assert!(reached <= 2, "{reached}");
    fleet.runners[0].set_mode(RunnerMode::Answer);
    thread::sleep(Duration::from_millis(400));
    let before = fleet.runners[0].received().len();
    for _ in 0..10 {
        calls(&fleet, number, 6);
        number += 6;
    }
    assert!(fleet.runners[0].received().len() > before, "it is used again");
}

#[test]
fn callers_are_told_when_the_pause_of_the_only_target_ends() {
    let fleet = TestFleet::start("only-pause", 1);
    fleet.runners[0].set_mode(RunnerMode::Pause(4_000));
    calls(&fleet, 0, 1);
    let answer = fleet.call(&request("POST", "/open/a", "r9"));
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.field("Retry-After").expect("set").parse().expect("a number");
    assert!((2.5..=6.0).contains(&retry_after), "{retry_after}");
    assert_eq!(fleet.runs(), 1, "nothing more was sent");
}
