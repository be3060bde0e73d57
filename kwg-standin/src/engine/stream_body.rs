use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use kwg_model::ByteChunk;
use kwg_wire::{SseEvent, SseKind};

use super::stream_cell::StreamCell;

/// A stream as the body of a response.
#[derive(Debug)]
pub(super) struct StreamBody {
    cell: StreamCell,
    offset: u64,
    bytes: Vec<u8>,
    consumed: usize,
    has_ended: bool,
}

impl StreamBody {
    pub(super) fn new(cell: StreamCell, offset: u64) -> Self {
        Self { cell, offset, bytes: Vec::new(), consumed: 0, has_ended: false }
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.consumed < self.bytes.len() || self.has_ended {
            return Poll::Ready(Ok(()));
        }
        self.bytes.clear();
        self.consumed = 0;
        let mut state = self.cell.lock();
        if state.is_cancelled {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let start = usize::try_from(self.offset).unwrap_or(usize::MAX);
        let fresh = state.text.get(start..).unwrap_or_default();
        if !fresh.is_empty() {
            self.offset += fresh.len() as u64;
            let kind = SseKind::Part(ByteChunk::from(fresh));
            SseEvent { offset: self.offset, kind }.encode(&mut self.bytes);
        }
        if state.ended_at.is_some() {
            let end = SseEvent { offset: self.offset, kind: SseKind::End };
            end.encode(&mut self.bytes);
            self.has_ended = true;
        }
        if self.bytes.is_empty() {
            state.wakers.push(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for StreamBody {
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

impl AsyncRead for StreamBody {
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
