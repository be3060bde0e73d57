//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use kwg_h1::{BodyDecoder, ReplyHead, RequestHead};

/// Largest head that a stand-in reads, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// A connection and the bytes that have been read from it and not used.
pub struct Connection {
    pub stream: TcpStream,
    pub inbox: Vec<u8>,
}

/// The answer to a request.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status; 0 if no head arrived.
    pub status: u16,
    pub head: Option<ReplyHead>,
    pub body: Vec<u8>,
    /// Whether the answer is whole.
    pub is_whole: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, inbox: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; 0 at the end of the stream.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        loop {
            match self.stream.read(&mut chunk) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
                Ok(count) => {
                    self.inbox.extend_from_slice(&chunk[..count]);
                    return Ok(count);
                }
            }
        }
    }

    /// The next request with its body; none when the peer has closed the connection.
    pub fn next_request(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        let head = loop {
            let parsed = RequestHead::parse(&self.inbox, MAX_HEAD).map_err(io::Error::other)?;
            if let Some((head, used)) = parsed {
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

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer, within a time limit.
    pub fn answer(&mut self, limit: Duration) -> Answer {
        let deadline = Instant::now() + limit;
        let mut answer = Answer::default();
        let mut decoder: Option<BodyDecoder> = None;
        loop {
            if decoder.is_none() {
                match ReplyHead::parse(&self.inbox) {
                    Ok(Some((head, used))) => {
                        self.inbox.drain(..used);
                        answer.status = head.status;
                        decoder = Some(BodyDecoder::new(head.framing));
                        answer.head = Some(head);
                    }
                    Ok(None) => {}
                    Err(_) => return answer,
                }
            }
            if let Some(decoder) = &mut decoder {
                let Ok(used) = decoder.decode(&self.inbox, &mut answer.body) else { return answer };
                self.inbox.drain(..used);
                if decoder.is_done() {
                    answer.is_whole = true;
                    return answer;
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return answer;
            }
            if !matches!(self.fill(), Ok(count) if count > 0) {
                return answer;
            }
        }
    }
}
