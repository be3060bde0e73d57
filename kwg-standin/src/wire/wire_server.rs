use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use kwg_h1::{BodyDecoder, RequestHead};

/// Longest head that a stand-in reads.
const MAX_HEAD: usize = 64 << 10;

/// Reads requests of one connection.
pub(crate) struct RequestReader {
    pub(crate) stream: TcpStream,
    inbox: Vec<u8>,
}

impl RequestReader {
    /// The next request, or none at the end of the connection.
    pub(crate) fn next(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        let head = loop {
            if let Some((head, used)) =
                RequestHead::parse(&self.inbox, MAX_HEAD).map_err(io::Error::other)?
            {
                self.inbox.drain(..used);
                break head;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
        loop {
            let used = decoder.decode(&self.inbox, &mut body).map_err(io::Error::other)?;
            self.inbox.drain(..used);
            if decoder.is_done() {
                return Ok(Some((head, body)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.inbox.extend_from_slice(&buffer[..count]);
        Ok(count)
    }
}

/// Serves every connection of a listener in a thread of its own.
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
                let mut reader = RequestReader { stream, inbox: Vec::new() };
                if let Err(error) = handle(&mut reader) {
                    log::debug!("event=standin-connection-ended error={error}");
                }
            });
        }
    });
    Ok(address)
}
