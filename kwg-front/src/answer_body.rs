use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::Stream;
use futures_lite::io::{AsyncBufRead, AsyncRead};
use kwg_flow::{AnswerNote, CallerReply};
use kwg_wire::{SseEvent, SseKind};

use crate::{CallerGuard, RequestPermit};

/// An answer as the body of a response: server-sent events, ended by an explicit event.
///
/// If the replies stop before that, reading fails and the connection is cut, so that a caller
/// never takes a cut for the end.
pub(crate) struct AnswerBody {
    replies: Pin<Box<Receiver<CallerReply>>>,
    bytes: Vec<u8>,
    consumed: usize,
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
            bytes: Vec::new(),
            consumed: 0,
            offset,
            has_ended: false,
            _guard: guard,
            _permit: permit,
        }
    }

    fn encode(&mut self, note: AnswerNote) {
        let (offset, kind) = match note {
            AnswerNote::Head(_) => return,
            AnswerNote::Part { offset, chunk } => {
                self.offset = offset + chunk.len() as u64;
                (self.offset, SseKind::Part(chunk))
            }
            AnswerNote::End { length } => (length, SseKind::End),
            AnswerNote::Failed(outcome) => (self.offset, SseKind::Failed(outcome.to_string())),
        };
        self.has_ended = !matches!(kind, SseKind::Part(_));
        SseEvent { offset, kind }.encode(&mut self.bytes);
    }

    /// Encodes replies until there are bytes or the answer has ended.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.consumed >= self.bytes.len() && !self.has_ended {
            self.bytes.clear();
            self.consumed = 0;
            match self.replies.as_mut().poll_next(context) {
                Poll::Ready(Some(CallerReply::Answer { note, .. })) => self.encode(note),
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

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerBody").field("offset", &self.offset).finish_non_exhaustive()
    }
}

impl AsyncBufRead for AnswerBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        match body.poll_fill(context) {
            Poll::Ready(Ok(())) => Poll::Ready(Ok(&body.bytes[body.consumed..])),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.consumed += count;
    }
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_fill(context) {
            Poll::Ready(Ok(())) => {
                let rest = &self.bytes[self.consumed..];
                let count = rest.len().min(buffer.len());
                buffer[..count].copy_from_slice(&rest[..count]);
                self.consumed += count;
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }
}
