use std::fmt::Display;

use crate::HeaderList;

/// Encodes a message head, and optionally a body with its length, into one buffer.
///
/// ```
/// use kwg_h1::HeadWriter;
///
/// let mut writer = HeadWriter::request("GET", "/rows");
/// writer.field("Host", "store");
/// assert_eq!(writer.finish(), b"GET /rows HTTP/1.1\r\nHost: store\r\n\r\n");
/// ```
#[derive(Debug)]
pub struct HeadWriter(Vec<u8>);

impl HeadWriter {
    /// Starts the head of a request.
    #[must_use]
    pub fn request(method: &str, target: &str) -> Self {
        Self(format!("{method} {target} HTTP/1.1\r\n").into_bytes())
    }

    /// Starts the head of a reply.
    #[must_use]
    pub fn reply(status: u16) -> Self {
        Self(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes())
    }

    /// Appends a header field.
    pub fn field(&mut self, name: &str, value: impl Display) {
        self.0.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }

    /// Appends all header fields of a list.
    pub fn fields(&mut self, headers: &HeaderList) {
        headers.iter().for_each(|(name, value)| self.field(name, value));
    }

    /// Ends the head and returns its bytes.
    #[must_use]
    pub fn finish(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"\r\n");
        self.0
    }

    /// Ends the head with the length of `body` and returns the bytes of both.
    #[must_use]
    pub fn finish_with(mut self, body: &[u8]) -> Vec<u8> {
        self.field("Content-Length", body.len());
        let mut bytes = self.finish();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Appends a chunk to `out`. Empty `data` is skipped, because an empty chunk would end the
    /// body.
    pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
        if !data.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            out.extend_from_slice(data);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// The end of a chunked body.
    pub const LAST_CHUNK: &'static [u8] = b"0\r\n\r\n";
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
