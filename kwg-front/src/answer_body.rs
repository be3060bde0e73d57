use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::Stream;
use kwg_flow::{AnswerEvent, CallerReply};
use kwg_http::ByteSource;
use kwg_wire::{SseEvent, SseKind};

use crate::{CallerGuard, RequestPermit};

/// Response body that streams an answer as server-sent events, terminated by an explicit event.
///
/// If the replies stop before the terminating event, reading fails and the connection is closed,
/// so that a caller never mistakes a truncated answer for a complete one.
pub(crate) struct AnswerBody {
    replies: Pin<Box<Receiver<CallerReply>>>,
    offset: u64,
    has_ended: bool,
    _guard: CallerGuard,
    _permit: RequestPermit,
}

impl AnswerBody {
    pub(crate) fn new(
        replies: Receiver<CallerReply>,
        offset: u64,
        guard: CallerGuard,
        permit: RequestPermit,
    ) -> Self {
        Self {
            replies: Box::pin(replies),
            offset,
            has_ended: false,
            _guard: guard,
            _permit: permit,
        }
    }

    fn encode(&mut self, event: AnswerEvent, bytes: &mut Vec<u8>) {
        let (offset, kind) = match event {
            AnswerEvent::Head(_) => return,
            AnswerEvent::Part { offset, chunk } => {
                self.offset = offset + chunk.len() as u64;
                (self.offset, SseKind::Part(chunk))
            }
            AnswerEvent::End { length } => (length, SseKind::End),
            AnswerEvent::Failed(outcome) => (self.offset, SseKind::Failed(outcome.to_string())),
        };
        self.has_ended = !matches!(kind, SseKind::Part(_));
        SseEvent { offset, kind }.encode(bytes);
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").field("offset", &self.offset).finish_non_exhaustive()
    }
}

impl ByteSource for AnswerBody {
    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<()>> {
        while bytes.is_empty() && !self.has_ended {
            match self.replies.as_mut().poll_next(context) {
                Poll::Ready(Some(CallerReply::Answer { event, .. })) => self.encode(event, bytes),
                Poll::Ready(Some(_)) => {}
                Poll::Ready(None) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }
}
