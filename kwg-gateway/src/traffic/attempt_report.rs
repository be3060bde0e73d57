use kwg_gate::{AttemptEvidence, AttemptSample};
use kwg_h1::ReplyHead;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptReport {
    /// The caller has the whole answer.
    Answered(AttemptSample),
    /// The target failed and said so; this is its reply.
    Failed(ReplyHead, Vec<u8>),
    /// There is no whole answer.
    Ended(AttemptEvidence),
    /// The caller takes nothing more.
    CallerGone,
}
