use std::cell::Cell;

use kwg_adapter::CallerCodec;
use kwg_gate::FinalOutcome;
use kwg_h1::{BodyFraming, HeadError, HeadWriter, ReplyHead};
use kwg_telemetry::EventLine;

use super::event_splitter::{EventSplitter, EventTooLong};
use crate::socket::PacedWriter;

/// Length of a body up to which it is copied behind its head, in bytes, so that both go out in one packet.
const MAX_JOINED: usize = 16 << 10;

/// Writes the answer of one request to its caller.
#[derive(Debug)]
pub(crate) struct AnswerRelay<'a> {
    writer: PacedWriter<'a>,
    /// Whether the caller allows the connection to be kept, and once the answer has begun, whether
    /// its head says so.
    keeps_alive: bool,
    is_stopping: &'a Cell<bool>,
    /// Whether the caller has sent bytes of its next request.
    has_next: &'a Cell<bool>,
    has_begun: bool,
    splitter: EventSplitter,
}

/// Why events were not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RelayError {
    /// The target sends an event without end.
    EventTooLong(EventTooLong),
    /// The caller's connection has failed.
    CallerDisconnected,
}

impl From<CallerDisconnected> for RelayError {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

/// The caller's connection has failed, or cannot be used further because part of an answer was
/// sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

impl<'a> AnswerRelay<'a> {
    pub(crate) fn new(
        writer: PacedWriter<'a>,
        keeps_alive: bool,
        is_stopping: &'a Cell<bool>,
        has_next: &'a Cell<bool>,
    ) -> Self {
        let splitter = EventSplitter::default();
        Self { writer, keeps_alive, is_stopping, has_next, has_begun: false, splitter }
    }

    /// Whether the connection may carry another request after the answer.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }

    /// Whether a part of an answer has been sent; no other answer can follow it.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// The id of the last complete event sent to the caller.
    pub(crate) fn last_event(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Whether the bytes of the stream so far end within an event.
    pub(crate) fn is_within_event(&self) -> bool {
        self.splitter.is_within_event()
    }

    /// The state after the bytes of the stream so far, to look ahead in it.
    pub(crate) fn splitter(&self) -> &EventSplitter {
        &self.splitter
    }

    /// The number of complete events sent to the caller.
    pub(crate) fn event_count(&self) -> u64 {
        self.splitter.count()
    }

    /// Sends a complete answer.
    pub(crate) async fn send_whole(
        &mut self,
        head: &ReplyHead,
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        let keeps_alive = self.begin();
        let mut bytes =
            encoded(CallerCodec::encode_answer_head(head, Some(body.len()), keeps_alive))?;
        self.writer.begin_reply();
        if body.len() > MAX_JOINED {
            self.write(&bytes).await?;
            return self.write(body).await;
        }
        bytes.extend_from_slice(body);
        self.write(&bytes).await
    }

    /// Sends the answer to a HEAD request: the head of an answer with the length of its body.
    pub(crate) async fn send_head(&mut self, head: &ReplyHead) -> Result<(), CallerDisconnected> {
        let length = match head.framing {
            BodyFraming::Length(length) => usize::try_from(length).ok(),
            BodyFraming::Chunked | BodyFraming::UntilClose => None,
        };
        let bytes = encoded(CallerCodec::encode_answer_head(head, length, self.begin()))?;
        self.writer.begin_reply();
        self.write(&bytes).await
    }

    /// Sends the events and comments that `bytes` completes, after the head if it has not been sent.
    /// Returns whether there were any events. A resumed stream continues under the head of the first
    /// attempt; its own head is dropped.
    pub(crate) async fn send_events(
        &mut self,
        head: &ReplyHead,
        bytes: &[u8],
    ) -> Result<bool, RelayError> {
        let before = self.splitter.count();
        let events = self.splitter.push(bytes).map_err(RelayError::EventTooLong)?;
        if events.is_empty() {
            return Ok(false);
        }
        let mut out = Vec::new();
        if !self.has_begun {
            out = encoded(CallerCodec::encode_answer_head(head, None, self.begin()))?;
        }
        HeadWriter::write_chunk(&events, &mut out);
        self.write(&out).await?;
        Ok(self.splitter.count() > before)
    }

    /// Ends a stream after an attempt that was answered to its end.
    pub(crate) async fn finish_events(
        &mut self,
        head: &ReplyHead,
    ) -> Result<(), CallerDisconnected> {
        let mut out = Vec::new();
        if !self.has_begun {
            out = encoded(CallerCodec::encode_answer_head(head, None, self.begin()))?;
        }
        let rest = self.splitter.take_rest();
        HeadWriter::write_chunk(&rest, &mut out);
        out.extend_from_slice(HeadWriter::LAST_CHUNK);
        self.writer.begin_reply();
        self.write(&out).await
    }

    /// Drops the incomplete event of a failed attempt.
    pub(crate) fn drop_incomplete(&mut self) {
        self.splitter.drop_rest();
    }

    /// Sends a final outcome. Fails if part of an answer has been sent, since no outcome can follow
    /// it, or if the caller's connection has failed.
    pub(crate) async fn send_outcome(
        &mut self,
        outcome: FinalOutcome,
        request_id: &str,
    ) -> Result<(), CallerDisconnected> {
        if self.has_begun {
            return Err(CallerDisconnected);
        }
        let bytes = encoded(CallerCodec::encode_outcome(outcome, request_id, self.begin()))?;
        self.writer.begin_reply();
        self.write(&bytes).await
    }

    /// Marks the answer as begun; returns whether its head says that the connection is kept. A
    /// stopping instance keeps it only for requests that the caller has sent ahead.
    fn begin(&mut self) -> bool {
        self.has_begun = true;
        self.keeps_alive &= self.has_next.get() || !self.is_stopping.get();
        self.keeps_alive
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        self.writer.write(bytes).await.map_err(|error| {
            log::debug!("event=caller-lost error={error}");
            CallerDisconnected
        })
    }
}

/// The encoded reply. One that cannot stand in a head is not sent, and the caller's connection is closed.
fn encoded(reply: Result<Vec<u8>, HeadError>) -> Result<Vec<u8>, CallerDisconnected> {
    reply.map_err(|error| {
        log::warn!("{}", EventLine::new("reply-unwritable").field("error", error));
        CallerDisconnected
    })
}
