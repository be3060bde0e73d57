use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::io::{AsyncRead, AsyncWrite};
use kwg_clock::ClockHandle;
use kwg_http::SocketStream;
use kwg_model::MonoTime;

/// Value of [`ReadDeadline`] without a deadline.
const NO_DEADLINE: u64 = u64::MAX;

/// A connection whose reads fail once a deadline has passed, so that a caller that sends its
/// request byte by byte cannot hold the connection open.
pub(crate) struct DeadlineStream {
    socket: SocketStream,
    clock: ClockHandle,
    deadline: ReadDeadline,
    sleep: Option<Sleep>,
}

type Sleep = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// The read deadline of a connection, shared by all clones of its stream.
#[derive(Debug, Clone)]
pub(crate) struct ReadDeadline(Arc<AtomicU64>);

impl ReadDeadline {
    pub(crate) fn set(&self, at: MonoTime) {
        self.0.store(at.as_micros(), Ordering::Relaxed);
    }

    pub(crate) fn clear(&self) {
        self.0.store(NO_DEADLINE, Ordering::Relaxed);
    }
}

impl DeadlineStream {
    pub(crate) fn new(socket: SocketStream, clock: ClockHandle) -> Self {
        let deadline = ReadDeadline(Arc::new(AtomicU64::new(NO_DEADLINE)));
        Self { socket, clock, deadline, sleep: None }
    }

    pub(crate) fn deadline(&self) -> ReadDeadline {
        self.deadline.clone()
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        /// How often the deadline is re-read while none is set.
        const RECHECK_INTERVAL: Duration = Duration::from_secs(60);
        loop {
            let micros = self.deadline.0.load(Ordering::Relaxed);
            let at = match micros {
                NO_DEADLINE => self.clock.now() + RECHECK_INTERVAL,
                micros => MonoTime::from_micros(micros),
            };
            if micros != NO_DEADLINE && self.clock.now() >= at {
                return Poll::Ready(io::ErrorKind::TimedOut.into());
            }
            let clock = self.clock.clone();
            let sleep = self
                .sleep
                .get_or_insert_with(|| Box::pin(async move { clock.sleep_until(at).await }));
            if sleep.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.sleep = None;
        }
    }
}

impl Clone for DeadlineStream {
    fn clone(&self) -> Self {
        Self {
            socket: self.socket.clone(),
            clock: self.clock.clone(),
            deadline: self.deadline.clone(),
            sleep: None,
        }
    }
}

impl fmt::Debug for DeadlineStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DeadlineStream").field("socket", &self.socket).finish_non_exhaustive()
    }
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.socket).poll_read(context, buffer) {
            Poll::Ready(read) => {
                self.sleep = None;
                Poll::Ready(read)
            }
            Poll::Pending => self.poll_deadline(context).map(Err),
        }
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(context)
    }
}
