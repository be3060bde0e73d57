//! Streams that end within an event have been broken off, however the end of their bodies is determined, and so have
//! bodies without length whose connection is reset.

mod support;

use kwg_standin::{RunnerMode, StreamFraming};
use support::{TestFleet, call_in_background, wait_until};

const FRAMINGS: [StreamFraming; 2] = [StreamFraming::Length, StreamFraming::Chunked];

#[test]
fn a_stream_that_ends_within_an_event_is_resumed_after_the_event_before() {
    for framing in FRAMINGS {
        let fleet = TestFleet::start("ends-within", 1);
        fleet.runners[0].set_mode(RunnerMode::EndWithinEvent(framing));
        let call = call_in_background(fleet.gateway.front, "/stream/draft/a");
        wait_until("the request has been sent", || fleet.runs() == 1);
        fleet.runners[0].set_mode(RunnerMode::Answer);
        call.join().expect("no panic").assert_whole_stream();
        let received = fleet.runners[0].received();
        assert_eq!(received.len(), 2, "{framing:?}");
        assert_eq!(received[1].head.headers.get("Last-Event-Id"), Some("2"), "{framing:?}");
    }
}

#[test]
fn a_stream_that_ends_within_an_event_and_may_not_be_resumed_is_cut_at_its_caller() {
    for framing in FRAMINGS {
        let fleet = TestFleet::start("ends-cut", 1);
        fleet.runners[0].set_mode(RunnerMode::EndWithinEvent(framing));
        let call = call_in_background(fleet.gateway.front, "/stream/digest/a");
        let answer = call.join().expect("no panic");
        assert!(!answer.is_complete, "{framing:?}: {}", answer.text());
        assert_eq!(answer.text().matches("id: ").count(), 2, "{framing:?}: {}", answer.text());
        assert_eq!(fleet.runs(), 1, "{framing:?}");
    }
}

#[test]
fn an_answer_without_length_whose_connection_is_reset_is_not_whole() {
    let fleet = TestFleet::start("reset-unframed", 1);
    fleet.runners[0].set_mode(RunnerMode::ResetUnframed);
    let answer = call_in_background(fleet.gateway.front, "/stream/digest/a");
    let answer = answer.join().expect("no panic");
    assert!(!answer.is_complete, "{}", answer.text());
    let call = call_in_background(fleet.gateway.front, "/scan/a");
    wait_until("the request has been sent", || fleet.runs() == 2);
    fleet.runners[0].set_mode(RunnerMode::Answer);
    let answer = call.join().expect("no panic");
    assert_eq!((answer.status, answer.text().as_str()), (200, "answer to r1"));
}
