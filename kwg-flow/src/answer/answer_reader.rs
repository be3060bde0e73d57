use kwg_model::{HomeAddress, ResumeToken};

use super::AnswerEvent;
use super::answer_buffer::AnswerBuffer;
use crate::CallerKey;

/// Recipient of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReaderAddress {
    /// A caller connected to this router.
    Caller(CallerKey),
    /// Another router, on behalf of one of its callers.
    Peer(HomeAddress),
}

/// A reader and its position in the answer.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    pub(crate) address: ReaderAddress,
    pub(crate) offset: u64,
    /// Whether [`AnswerEvent::Head`] has been sent to it.
    pub(crate) has_head: bool,
}

impl AnswerReader {
    pub(crate) fn new(address: ReaderAddress, offset: u64) -> Self {
        Self { address, offset, has_head: false }
    }

    /// Returns the events that this reader has not received yet and advances its position.
    pub(super) fn catch_up(
        &mut self,
        buffer: &AnswerBuffer,
        token: Option<&ResumeToken>,
    ) -> Vec<AnswerEvent> {
        let mut events = Vec::new();
        if let (false, Some(token)) = (self.has_head, token) {
            self.has_head = true;
            events.push(AnswerEvent::Head(token.clone()));
        }
        if let Some(chunk) = buffer.read_from(self.offset) {
            let offset = self.offset;
            self.offset += chunk.len() as u64;
            events.push(AnswerEvent::Part { offset, chunk });
        }
        if let Some(length) = buffer.end() {
            events.push(AnswerEvent::End { length });
        }
        events
    }
}
