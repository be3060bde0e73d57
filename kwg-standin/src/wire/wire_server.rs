use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kwg_h1::{BodyDecoder, RequestHead};

/// Longest request head that a stand-in accepts, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reads the requests of one connection.
pub(crate) struct RequestReader {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

impl RequestReader {
    /// The next request, or `None` when the peer has closed the connection.
    pub(crate) fn next(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        let Some(head) = self.next_head()? else { return Ok(None) };
        Ok(self.body(&head)?.map(|body| (head, body)))
    }

    /// The head of the next request, whose body [`Self::body`] must read; `None` when the peer has
    /// closed the connection.
    pub(crate) fn next_head(&mut self) -> io::Result<Option<RequestHead>> {
        loop {
            if let Some((head, used)) =
                RequestHead::parse(&self.buffer, MAX_HEAD_BYTES).map_err(io::Error::other)?
            {
                self.buffer.drain(..used);
                return Ok(Some(head));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// The body of the request with this head, or `None` when the peer has closed the connection.
    pub(crate) fn body(&mut self, head: &RequestHead) -> io::Result<Option<Vec<u8>>> {
        let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
        loop {
            let used = decoder.decode(&self.buffer, &mut body).map_err(io::Error::other)?;
            self.buffer.drain(..used);
            if decoder.is_done() {
                return Ok(Some(body));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads what the peer sends until it closes the connection.
    pub(crate) fn drain(&mut self) -> io::Result<()> {
        while self.next()?.is_some() {}
        Ok(())
    }

    /// Makes the connection be reset instead of closed.
    pub(crate) fn reset_on_close(&self) -> io::Result<()> {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))?;
        Ok(())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

/// Listens on a free local port, serves every connection in a thread of its own, and returns
/// the address.
pub(crate) fn serve(
    handle: impl Fn(&mut RequestReader) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut reader = RequestReader { stream, buffer: Vec::new() };
                if let Err(error) = handle(&mut reader) {
                    log::debug!("event=standin-connection-ended error={error}");
                }
            });
        }
    });
    Ok(address)
}
