use kwg_model::{ByteChunk, CallOutcome, ResumeToken};
use serde::{Deserialize, Serialize};

/// One event of an answer, sent to its readers: callers and other routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEvent {
    /// The request is being dispatched. Any router can resume the answer with the token.
    Head(ResumeToken),
    /// Bytes of the answer.
    Part {
        /// Position of the first byte in the answer, in bytes.
        offset: u64,
        /// Bytes from that position on.
        chunk: ByteChunk,
    },
    /// The answer is complete.
    End {
        /// Length of the answer, in bytes.
        length: u64,
    },
    /// The answer will not be completed.
    Failed(CallOutcome),
}
