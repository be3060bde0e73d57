use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

/// Size of one read, in bytes. An event of a stream is far smaller, a prompt a little larger.
const READ_BYTES: usize = 16 << 10;
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

/// A TCP connection with a buffer of bytes that have been read and not consumed.
#[derive(Debug)]
pub(crate) struct ByteSocket {
    stream: Async<TcpStream>,
    inbox: Vec<u8>,
    /// Whether the last read filled its buffer, so that more bytes are probably waiting.
    has_more: bool,
}

/// The read half of a [`ByteSocket`].
#[derive(Debug)]
pub(crate) struct SocketReader<'a> {
    stream: &'a Async<TcpStream>,
    inbox: &'a mut Vec<u8>,
    has_more: &'a mut bool,
}

/// The write half of a [`ByteSocket`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct SocketWriter<'a>(&'a Async<TcpStream>);

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
        let socket = Self { stream, inbox: Vec::new(), has_more: false };
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
        };
        (reader, SocketWriter(&self.stream))
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

    /// Removes the first `count` bytes from the buffer.
    pub(crate) fn consume(&mut self, count: usize) {
        self.inbox.drain(..count);
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        // A peer that sends faster than its bytes are processed must not keep timers and other
        // tasks waiting. The pause is before a read, since one after it would let a timer that has
        // run out meanwhile win over the bytes that were read.
        if std::mem::take(self.has_more) {
            yield_now().await;
        }
        let before = self.inbox.len();
        self.inbox.resize(before + READ_BYTES, 0);
        let mut guard = TruncateGuard { inbox: self.inbox, length: before };
        let count = (&mut &*self.stream).read(&mut guard.inbox[before..]).await?;
        guard.length += count;
        drop(guard);
        *self.has_more = count == READ_BYTES;
        Ok(count)
    }

    /// Waits until the peer has closed the connection or reading fails; calls `on_bytes` after each
    /// read. Stops reading at `limit` buffered bytes and then never returns; the rest stays in the
    /// kernel's buffer.
    pub(crate) async fn wait_closed(&mut self, limit: usize, on_bytes: impl Fn()) {
        while self.inbox.len() < limit {
            if !matches!(self.fill().await, Ok(count) if count > 0) {
                return;
            }
            on_bytes();
        }
        std::future::pending::<()>().await;
    }
}

/// Truncates the buffer to the bytes read, even if the read is cancelled.
struct TruncateGuard<'a> {
    inbox: &'a mut Vec<u8>,
    length: usize,
}

impl Drop for TruncateGuard<'_> {
    fn drop(&mut self) {
        self.inbox.truncate(self.length);
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
            match (&mut &*self.0).write(&bytes[*written..]).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                count => *written += count,
            }
        }
        Ok(())
    }
}
