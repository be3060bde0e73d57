//! A client that sends one request and reads its answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request on a new connection; returns the status, or 0 without a whole answer.
pub fn call(front: SocketAddr, method: &str, path: &str, id: &str) -> u16 {
    exchange(front, method, path, id).unwrap_or(0)
}

fn exchange(front: SocketAddr, method: &str, path: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: bot.example\r\nX-Knapweedglade-Request-Id: {id}\r\n\
         X-Knapweedglade-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "))?;
    let is_whole = length.parse() == Ok(body.len());
    is_whole.then(|| head.split(' ').nth(1)?.parse().ok()).flatten()
}

/// The status of a readiness check, or 0.
pub fn ready(address: SocketAddr) -> u16 {
    let check = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(300))).ok()?;
        let check = b"GET /knapweedglade/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(check).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        answer.split(' ').nth(1)?.parse().ok()
    };
    check().unwrap_or(0)
}
