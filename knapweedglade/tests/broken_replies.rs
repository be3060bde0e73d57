//! Replies that are no complete and valid answer are not passed on as one.

mod support;

use kwg_standin::{BrokenReply, RunnerMode};
use support::{TestFleet, long_request};

/// Length of a body that no socket buffer holds, in bytes.
const LONG_BODY: usize = 12 << 20;

#[test]
fn an_answer_without_length_that_is_reset_during_the_upload_is_not_whole() {
    let fleet = TestFleet::start("reset-upload", 1);
    fleet.apply_config(|config| config["limits"]["maxBodyBytes"] = (2 * LONG_BODY).into());
    let mut whole = Vec::new();
    for number in 0..10 {
        let broken = BrokenReply::ResetInUpload((number + 1) << 20);
        fleet.runners[0].set_mode(RunnerMode::Broken(broken));
        for route in ["/open", "/scan", "/stream/digest", "/stream/draft"] {
            let (path, before) = (format!("{route}/{number}"), fleet.runs());
            let answer = fleet.call(&long_request(&path, &format!("r{number}"), LONG_BODY));
            assert!(fleet.runs() > before, "{path}: {} without a run", answer.status);
            if answer.is_complete && answer.status != 502 {
                whole.push((path, answer.status, answer.text()));
            }
        }
    }
    assert!(whole.is_empty(), "{} of 40: {whole:?}", whole.len());
}
