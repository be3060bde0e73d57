//! Truncated and malformed replies of targets are not passed on as answers.

mod support;

use kwg_standin::{BrokenReply, RunnerMode};
use support::{TestFleet, long_request, request};

/// Length of a body that no socket buffer holds, in bytes.
const LONG_BODY: usize = 12 << 20;

#[test]
fn an_answer_without_length_that_is_reset_during_the_upload_is_not_whole() {
    let fleet = TestFleet::start("reset-upload", 1);
    fleet.apply_config(|config| config["limits"]["maxBodyBytes"] = (2 * LONG_BODY).into());
    let mut wrong = Vec::new();
    for number in 0..10 {
        let broken = BrokenReply::ResetInUpload((number + 1) << 20);
        fleet.runners[0].set_mode(RunnerMode::Broken(broken));
        for route in ["/open", "/scan", "/stream/digest", "/stream/draft"] {
            let (path, before) = (format!("{route}/{number}"), fleet.runs());
            let answer = fleet.call(&long_request(&path, &format!("r{number}"), LONG_BODY));
            assert!(fleet.runs() > before, "{path}: {} without a run", answer.status);
            let is_cut_stream = path.starts_with("/stream") && !answer.is_complete;
            if answer.status != 502 && !(answer.status == 200 && is_cut_stream) {
                wrong.push((path, answer.status, answer.text()));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of 40: {wrong:?}", wrong.len());
}

/// Asserts that callers get a failure of the gateway instead of the reply, and that only a retryable
/// request is sent to a second target.
fn assert_rejected(name: &str, broken: BrokenReply) {
    let fleet = TestFleet::start(name, 2);
    fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Broken(broken)));
    for (path, runs) in [("/open/a", 1), ("/scan/a", 2), ("/stream/digest/a", 1)] {
        let before = fleet.runs();
        let answer = fleet.call(&request("POST", path, "r1"));
        let text = answer.text();
        assert_eq!(answer.status, 502, "{broken:?}, {path}: {text}");
        assert_eq!(answer.field("X-Knapweedglade-Server-Seal"), None, "{broken:?}, {path}");
        assert!(!text.contains("answer to"), "{broken:?}, {path}: {text}");
        assert_eq!(fleet.runs() - before, runs, "{broken:?}, {path}");
    }
}

#[test]
fn a_reply_whose_status_is_out_of_range_is_not_passed_on() {
    for status in [0, 99, 600, 999] {
        assert_rejected("bad-status", BrokenReply::Status(status));
        assert_rejected("bad-status", BrokenReply::StatusBeforeAnswer(status));
    }
}

#[test]
fn a_reply_with_an_invalid_field_name_is_not_passed_on() {
    for line in [
        "X Name: a",
        "X\tName: a",
        "X-Name : a",
        " X-Name: a",
        "X\x01Name: a",
        "X-Name\0: a",
        "X-Name\x7f: a",
        "X\rName: a",
        ": a",
        "X-Name",
        "Content-Length : 3",
        "Transfer-Encoding : chunked",
        "Transfer\x0bEncoding: chunked",
    ] {
        assert_rejected("bad-field", BrokenReply::HeadLine(line));
    }
}
