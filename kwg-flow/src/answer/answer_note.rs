use kwg_model::{ByteChunk, CallOutcome, ResumeToken};
use serde::{Deserialize, Serialize};

/// One step of an answer, as its readers get it: callers and other routers alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerNote {
    /// The request is about to be dispatched, or was; the token resumes the answer anywhere.
    Head(ResumeToken),
    /// Bytes of the answer.
    Part {
        /// Where in the answer they begin, in bytes.
        offset: u64,
        /// The bytes.
        chunk: ByteChunk,
    },
    /// The answer is whole.
    End {
        /// Its length, in bytes.
        length: u64,
    },
    /// There will be no whole answer.
    Failed(CallOutcome),
}
