use std::io;
use std::task::{Context, Poll};

use kwg_http::ByteSource;
use kwg_model::ByteChunk;
use kwg_wire::{SseEvent, SseKind};

use super::stream_handle::StreamHandle;

/// Encodes a stream as server-sent events for a response body, from `offset` on.
#[derive(Debug)]
pub(super) struct StreamBody {
    handle: StreamHandle,
    offset: u64,
    has_ended: bool,
}

impl StreamBody {
    pub(super) fn new(handle: StreamHandle, offset: u64) -> Self {
        Self { handle, offset, has_ended: false }
    }
}

impl ByteSource for StreamBody {
    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<()>> {
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        let mut state = self.handle.lock();
        if state.is_cancelled {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let start = usize::try_from(self.offset).unwrap_or(usize::MAX);
        let unsent = state.text.get(start..).unwrap_or_default();
        if !unsent.is_empty() {
            self.offset += unsent.len() as u64;
            let kind = SseKind::Part(ByteChunk::from(unsent));
            SseEvent { offset: self.offset, kind }.encode(bytes);
        }
        if state.ended_at.is_some() {
            SseEvent { offset: self.offset, kind: SseKind::End }.encode(bytes);
            self.has_ended = true;
        }
        if bytes.is_empty() {
            state.wakers.push(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}
