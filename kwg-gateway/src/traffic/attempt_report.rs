use kwg_gate::{AttemptEvidence, AttemptSample};
use kwg_h1::ReplyHead;

use super::attempt_stop::AttemptStop;
use super::counted_body::CountedBody;

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptReport {
    /// The complete answer was sent to the caller.
    Answered(AttemptSample),
    /// The target replied with a failure; the reply's head and body.
    Failed(ReplyHead, CountedBody),
    /// The attempt ended without a complete answer.
    Ended(AttemptEvidence),
    /// The caller's connection failed.
    CallerDisconnected,
}

impl From<AttemptStop> for AttemptReport {
    fn from(stop: AttemptStop) -> Self {
        match stop {
            AttemptStop::Evidence(evidence) => Self::Ended(evidence),
            AttemptStop::CallerDisconnected => Self::CallerDisconnected,
        }
    }
}
