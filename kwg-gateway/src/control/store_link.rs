use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_clock::ClockHandle;

use crate::socket::{ByteSocket, read_reply};

/// Longest time for a connection to the store: it answers in milliseconds when it is well.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_300);

/// A kept connection to the store, which carries one call at a time.
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

    /// Makes a call; returns the status and the body. After an error it is not known whether
    /// the call was done, and the connection is given up.
    pub(crate) async fn call(
        &mut self,
        request: &[u8],
        limit: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        let kept = self.socket.take().filter(ByteSocket::is_quiet);
        let mut socket = match kept {
            Some(socket) => socket,
            None => ByteSocket::connect(self.address, CONNECT_LIMIT).await?,
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
