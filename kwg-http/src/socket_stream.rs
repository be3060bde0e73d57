use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};

/// A TCP stream whose clones share the socket, as async-h1 requires.
#[derive(Debug, Clone)]
pub struct SocketStream(Arc<Async<TcpStream>>);

impl SocketStream {
    /// Connects to an address.
    ///
    /// # Errors
    /// The system's error, in which case no byte was written.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::accepted(Async::<TcpStream>::connect(address).await?))
    }

    /// Wraps an accepted connection.
    #[must_use]
    pub fn accepted(stream: Async<TcpStream>) -> Self {
        // Tokens are small, and Nagle's algorithm would delay them. The stream also works without
        // the option, so a failure is ignored.
        if let Err(error) = stream.get_ref().set_nodelay(true) {
            drop(error);
        }
        Self(Arc::new(stream))
    }

    /// Shuts down both directions for all clones.
    pub fn shutdown(&self) {
        if let Err(error) = self.0.get_ref().shutdown(std::net::Shutdown::Both) {
            // An error means that the connection is already closed.
            drop(error);
        }
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(context)
    }
}
