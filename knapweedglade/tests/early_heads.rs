//! Targets that answer before they have read a long request.

mod support;

use kwg_standin::RunnerMode;
use support::{TestFleet, long_request};

/// Length of a body that no socket buffer holds, in bytes.
const LONG_BODY: usize = 12 << 20;

/// A fleet that accepts long bodies.
fn start_fleet(name: &str) -> TestFleet {
    let fleet = TestFleet::start(name, 1);
    fleet.apply_config(|config| config["limits"]["maxBodyBytes"] = (2 * LONG_BODY).into());
    fleet
}

#[test]
fn an_answer_is_not_lost_because_its_head_came_before_the_whole_request_was_sent() {
    let fleet = start_fleet("early-head");
    fleet.runners[0].set_mode(RunnerMode::EarlyHead);
    for path in ["/open/a", "/scan/a", "/stream/digest/a", "/stream/draft/a"] {
        let answer = fleet.call(&long_request(path, "r1", LONG_BODY));
        assert_eq!((answer.status, answer.is_complete), (200, true), "{path}");
        let text = answer.text();
        assert!(text.contains(&format!("{LONG_BODY} bytes")), "{path}: {text}");
    }
}

#[test]
fn a_connection_is_used_again_after_an_early_head_only_for_whole_requests() {
    let fleet = start_fleet("early-kept");
    let before = fleet.runs();
    fleet.runners[0].set_mode(RunnerMode::EarlyHead);
    for number in 0..4 {
        let answer = fleet.call(&long_request("/open/a", &format!("r{number}"), LONG_BODY));
        assert!(answer.is_complete, "{number}: {}", answer.status);
    }
    for received in &fleet.runners[0].received()[before..] {
        assert!(received.body.len() == LONG_BODY && received.body.iter().all(|byte| *byte == b'b'));
    }
    assert_eq!(fleet.runs() - before, 4, "each request arrives once");
}
