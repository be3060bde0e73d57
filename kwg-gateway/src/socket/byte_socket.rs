use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncRead, AsyncWriteExt, FutureExt};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Size of one read, in bytes. An event of a stream is far smaller, a prompt a little larger.
const READ_BYTES: usize = 16 << 10;
/// Unit in which a buffer of received bytes grows, in bytes, so that bytes that come one by one don't
/// have it allocated anew each time.
const INBOX_STEP: usize = 512;
/// Room that a buffer keeps beyond twice its bytes, in bytes.
const INBOX_SLACK: usize = 2 << 10;
/// TCP user timeout of connections that this instance opens, for short messages: how long sent bytes
/// may stay unacknowledged. A path that loses packets recovers within a second; one that is silent for
/// longer has failed.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);
/// TCP user timeout of accepted connections, and for long messages. It also applies while the peer's
/// receive window is full, so it exceeds the time for which a peer may pause its reading; the deadline
/// of a request bounds the writing.
const UNREAD_LIMIT: Duration = Duration::from_secs(15);

/// Length of a message, in bytes, that fits into the receive window of a peer that does not read.
const WINDOW_BYTES: usize = 32 << 10;

/// TCP user timeout of connections that are probed while they are idle.
const PROBED_LIMIT: Duration = Duration::from_millis(1_500);
/// Idle time before the first probe, and between probes: the shortest that the kernel takes. With the user
/// timeout above, a dead connection is closed at the second probe, after two seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How often a connection with many bytes that are not read is asked whether it has been closed. A caller
/// that has left must not keep a target at work.
const HANGUP_CHECK: Duration = Duration::from_millis(250);

thread_local! {
    /// Where a read puts its bytes. They are copied into the connection's own buffer, which is then as
    /// long as they are: thousands of connections that wait hold no buffers of the size of a read.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A TCP connection with a buffer of bytes that have been read and not consumed.
#[derive(Debug)]
pub(crate) struct ByteSocket {
    stream: Async<TcpStream>,
    inbox: Vec<u8>,
    /// Whether the last read filled its buffer, so that more bytes are probably waiting.
    has_more: bool,
    write_error: WriteError,
}

/// The error of a failed write. The kernel reports an error of a socket once: a read after the failed
/// write would return 0, as if the peer had closed the connection.
type WriteError = Cell<Option<io::ErrorKind>>;

/// The read half of a [`ByteSocket`].
#[derive(Debug)]
pub(crate) struct SocketReader<'a> {
    stream: &'a Async<TcpStream>,
    inbox: &'a mut Vec<u8>,
    has_more: &'a mut bool,
    write_error: &'a WriteError,
}

/// The write half of a [`ByteSocket`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct SocketWriter<'a> {
    stream: &'a Async<TcpStream>,
    write_error: &'a WriteError,
}

impl ByteSocket {
    /// Connects to `address`; fails with `TimedOut` after `limit`.
    pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let timeout = async {
            Timer::after(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = Async::<TcpStream>::connect(address).or(timeout).await?;
        Ok(Self::with_limit(stream, UNACKNOWLEDGED_LIMIT))
    }

    /// Wraps an accepted connection and sets its socket options.
    pub(crate) fn accepted(stream: Async<TcpStream>) -> Self {
        Self::with_limit(stream, UNREAD_LIMIT)
    }

    fn with_limit(stream: Async<TcpStream>, limit: Duration) -> Self {
        if let Err(error) = stream.get_ref().set_nodelay(true) {
            log::debug!("event=socket-option option=nodelay error={error}");
        }
        let socket =
            Self { stream, inbox: Vec::new(), has_more: false, write_error: Cell::default() };
        socket.set_user_timeout(limit);
        socket
    }

    /// Lets the kernel probe the connection while it is idle, so that a read from one that has died ends
    /// after two seconds.
    pub(crate) fn probe_when_idle(&self) {
        self.set_user_timeout(PROBED_LIMIT);
        let socket = self.stream.get_ref();
        let set = rustix::net::sockopt::set_socket_keepalive(socket, true)
            .and_then(|()| rustix::net::sockopt::set_tcp_keepidle(socket, PROBE_INTERVAL))
            .and_then(|()| rustix::net::sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL));
        if let Err(error) = set {
            log::debug!("event=socket-option option=keepalive error={error}");
        }
    }

    /// Sets how long the bytes of a message of `length` bytes may stay unacknowledged. A peer that reads
    /// the rest of a long one later has a full receive window until then.
    pub(crate) fn set_message_length(&self, length: usize) {
        self.set_user_timeout(match length > WINDOW_BYTES {
            true => UNREAD_LIMIT,
            false => UNACKNOWLEDGED_LIMIT,
        });
    }

    fn set_user_timeout(&self, limit: Duration) {
        let (socket, limit) = (self.stream.get_ref(), limit.as_millis() as u32);
        if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(socket, limit) {
            log::debug!("event=socket-option option=user-timeout error={error}");
        }
    }

    /// Borrows both halves, for concurrent use.
    pub(crate) fn split(&mut self) -> (SocketReader<'_>, SocketWriter<'_>) {
        let reader = SocketReader {
            stream: &self.stream,
            inbox: &mut self.inbox,
            has_more: &mut self.has_more,
            write_error: &self.write_error,
        };
        (reader, SocketWriter { stream: &self.stream, write_error: &self.write_error })
    }

    /// Whether the connection is open with nothing to read. An idle connection that has received
    /// bytes, or that the peer has closed, must not be reused.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let is_silent = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.inbox.is_empty() && self.stream.get_ref().peek(&mut byte).err().is_some_and(is_silent)
    }
}

impl SocketReader<'_> {
    /// The bytes that have been read and not consumed.
    pub(crate) fn inbox(&self) -> &[u8] {
        self.inbox
    }

    /// Bytes of memory that the buffer takes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.inbox.capacity()
    }

    /// Removes the first `count` bytes from the buffer, and the room that the rest does not need.
    pub(crate) fn consume(&mut self, count: usize) {
        self.inbox.drain(..count);
        if self.inbox.is_empty() {
            *self.inbox = Vec::new();
        } else if self.inbox.capacity() > 2 * self.inbox.len() + INBOX_SLACK {
            self.inbox.shrink_to_fit();
        }
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the stream.
    ///
    /// # Errors
    /// As [`Self::fill_up_to`].
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.fill_up_to(READ_BYTES).await
    }

    /// Reads at most `limit` more bytes into the buffer; returns 0 at the end of the stream. It can be
    /// cancelled.
    ///
    /// # Errors
    /// Errors of the socket, including one that a write has returned before.
    pub(crate) async fn fill_up_to(&mut self, limit: usize) -> io::Result<usize> {
        // A peer that sends faster than its bytes are processed must not keep timers and other
        // tasks waiting. The pause is before a read, since one after it would let a timer that has
        // run out meanwhile win over the bytes that were read.
        if std::mem::take(self.has_more) {
            yield_now().await;
        }
        let limit = limit.clamp(1, READ_BYTES);
        let (mut stream, inbox) = (self.stream, &mut *self.inbox);
        let count = poll_fn(|context| {
            SCRATCH.with_borrow_mut(|scratch| {
                let scratch = &mut scratch[..limit];
                let count = ready!(Pin::new(&mut stream).poll_read(context, scratch))?;
                if inbox.capacity() - inbox.len() < count {
                    inbox.reserve_exact(count.next_multiple_of(INBOX_STEP));
                }
                inbox.extend_from_slice(&scratch[..count]);
                Poll::Ready(io::Result::Ok(count))
            })
        })
        .await?;
        *self.has_more = count == limit;
        match self.write_error.get() {
            Some(kind) if count == 0 => Err(kind.into()),
            _ => Ok(count),
        }
    }

    /// Waits until the peer has closed the connection or reading fails; calls `on_bytes` with the
    /// number of buffered bytes after each read. Stops reading at `limit` buffered bytes; the rest stays in
    /// the kernel's buffer, and the connection is asked from time to time whether it has been closed.
    pub(crate) async fn wait_closed(&mut self, limit: usize, on_bytes: impl Fn(usize)) {
        while self.inbox.len() < limit {
            let room = limit - self.inbox.len();
            if !matches!(self.fill_up_to(room).await, Ok(count) if count > 0) {
                return;
            }
            on_bytes(self.inbox.len());
        }
        // The poller tells only that there is something to read.
        while !self.is_hung_up() {
            Timer::after(HANGUP_CHECK).await;
        }
    }

    /// Whether the peer has closed its direction, also if there are bytes before the end.
    fn is_hung_up(&self) -> bool {
        let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(self.stream, ends)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        matches!(poll(&mut polled, Some(&now)), Ok(1..)) && polled[0].revents().intersects(ends)
    }
}

impl SocketWriter<'_> {
    /// Writes all bytes; an error carries the count of bytes written before it.
    pub(crate) async fn write(self, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
        let mut written = 0;
        self.write_rest(bytes, &mut written).await.map_err(|error| (written, error))
    }

    /// Writes the bytes after the first `written`, and counts them in it. It can be cancelled and
    /// continued.
    pub(crate) async fn write_rest(self, bytes: &[u8], written: &mut usize) -> io::Result<()> {
        while *written < bytes.len() {
            *written += self.write_part(&bytes[*written..]).await?;
        }
        Ok(())
    }

    /// Writes some of the bytes, at least one; returns how many.
    pub(crate) async fn write_part(self, bytes: &[u8]) -> io::Result<usize> {
        match (&mut &*self.stream).write(bytes).await {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => Ok(count),
            Err(error) => {
                // `BrokenPipe` instead of the reset means that the peer had shut down its sending side
                // before; all that it sent can be read.
                if error.kind() != io::ErrorKind::BrokenPipe {
                    self.write_error.set(Some(error.kind()));
                }
                Err(error)
            }
        }
    }
}
