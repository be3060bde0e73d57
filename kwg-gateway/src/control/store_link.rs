use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_clock::ClockHandle;

use crate::socket::{ByteSocket, read_reply};

/// Time limit for connecting to the store. A healthy store accepts within milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_300);

/// A persistent connection to the store that carries one call at a time.
#[derive(Debug)]
pub(crate) struct StoreLink {
    address: SocketAddr,
    clock: ClockHandle,
    socket: Option<ByteSocket>,
}

impl StoreLink {
    pub(crate) fn new(address: SocketAddr, clock: ClockHandle) -> Self {
        Self { address, clock, socket: None }
    }

    /// Drops the connection if it has been closed since the last reply, which did not announce that; returns
    /// whether it had.
    pub(crate) fn discard_closed(&mut self) -> bool {
        let is_closed = self.socket.as_ref().is_some_and(|socket| !socket.is_quiet());
        if is_closed {
            self.socket = None;
        }
        is_closed
    }

    /// Sends an encoded request; returns the reply's status and body.
    ///
    /// After an error the connection is closed, and the store may or may not have applied the call.
    pub(crate) async fn call(
        &mut self,
        request: &[u8],
        limit: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        let idle = self.socket.take().filter(ByteSocket::is_quiet);
        let mut socket = match idle {
            Some(socket) => socket,
            None => {
                let socket = ByteSocket::connect(self.address, CONNECT_LIMIT).await?;
                // A long poll awaits a reply for seconds.
                socket.probe_when_idle();
                socket
            }
        };
        let clock = self.clock.clone();
        let timeout = async {
            clock.sleep(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let exchange = async {
            let (mut reader, writer) = socket.split();
            writer.write(request).await.map_err(|(_, error)| error)?;
            read_reply(&mut reader).await
        };
        let (head, body) = exchange.or(timeout).await?;
        if head.keeps_alive {
            self.socket = Some(socket);
        }
        Ok((head.status, body))
    }
}
