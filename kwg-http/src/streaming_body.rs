use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncBufRead, AsyncRead};

/// Produces the bytes of a body incrementally.
pub trait ByteSource: Unpin {
    /// Appends the next bytes to `bytes`, or none at the end of the body.
    ///
    /// # Errors
    /// Any error if the body is truncated. The connection is then closed without terminating the
    /// body, so that the receiver does not mistake the truncation for its end.
    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        bytes: &mut Vec<u8>,
    ) -> Poll<io::Result<()>>;
}

/// Response body that reads from a [`ByteSource`].
pub struct StreamingBody<S> {
    source: S,
    bytes: Vec<u8>,
    consumed: usize,
    has_ended: bool,
}

impl<S: ByteSource> StreamingBody<S> {
    /// Creates a body that reads from `source`.
    #[must_use]
    pub fn new(source: S) -> Self {
        Self { source, bytes: Vec::new(), consumed: 0, has_ended: false }
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.consumed < self.bytes.len() || self.has_ended {
            return Poll::Ready(Ok(()));
        }
        self.bytes.clear();
        self.consumed = 0;
        let poll = self.source.poll_bytes(context, &mut self.bytes);
        self.has_ended = poll.is_ready() && self.bytes.is_empty();
        poll
    }
}

impl<S> fmt::Debug for StreamingBody<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SourceBody").field("has_ended", &self.has_ended).finish_non_exhaustive()
    }
}

impl<S: ByteSource> AsyncBufRead for StreamingBody<S> {
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

impl<S: ByteSource> AsyncRead for StreamingBody<S> {
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
