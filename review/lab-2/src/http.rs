//! A small HTTP/1.1 server and client over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use kwg_h1::{BodyDecoder, ReplyHead, RequestHead};

const MAX_HEAD: usize = 64 << 10;

/// Reads the requests of one connection.
pub struct Requests {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Requests {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// The next request with its body; `None` once the peer has closed the connection.
    pub fn next(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        let head = loop {
            let parsed = RequestHead::parse(&self.buffer, MAX_HEAD).map_err(io::Error::other)?;
            if let Some((head, used)) = parsed {
                self.buffer.drain(..used);
                break head;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
        loop {
            let used = decoder.decode(&self.buffer, &mut body).map_err(io::Error::other)?;
            self.buffer.drain(..used);
            if decoder.is_done() {
                return Ok(Some((head, body)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

/// Serves each connection to a free port of `ip` in a thread of its own; returns the address.
pub fn serve(
    ip: std::net::Ipv4Addr,
    handle: impl Fn(&mut Requests) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                drop(stream.set_nodelay(true));
                // An error ends the connection, and nothing else.
                drop(handle(&mut Requests::new(stream)));
            });
        }
    });
    address
}

/// An answer as a client sees it.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// 0 if the connection ended before a status line.
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    pub is_complete: bool,
    /// What came behind it, so far.
    pub rest: Vec<u8>,
}

/// Sends bytes on a new connection, and reads the answer.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else {
        return Answer::default();
    };
    call_on(&mut stream, bytes, limit)
}

/// Sends bytes on an open connection, and reads the answer.
pub fn call_on(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    if stream.set_read_timeout(Some(limit)).is_err() || stream.write_all(bytes).is_err() {
        return answer;
    }
    let (mut inbox, mut chunk) = (Vec::new(), [0; 16 << 10]);
    let mut decoder: Option<BodyDecoder> = None;
    loop {
        if decoder.is_none()
            && let Ok(Some((head, used))) = ReplyHead::parse(&inbox)
        {
            inbox.drain(..used);
            answer.status = head.status;
            answer.seal = head.headers.get("X-Knapweedglade-Server-Seal").map(str::to_owned);
            decoder = Some(BodyDecoder::new(head.framing));
        }
        if let Some(decoder) = &mut decoder {
            let Ok(used) = decoder.decode(&inbox, &mut answer.body) else { return answer };
            inbox.drain(..used);
            if decoder.is_done() {
                answer.is_complete = true;
                answer.rest = inbox;
                return answer;
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => inbox.extend_from_slice(&chunk[..count]),
            Ok(_) => {
                answer.is_complete =
                    decoder.as_ref().is_some_and(BodyDecoder::is_complete_at_close);
                return answer;
            }
            Err(_) => return answer,
        }
    }
}
