use std::fmt::Display;

use crate::head_error::MalformedSnafu;
use crate::{HeadError, HeaderList};

/// Encodes a message head, and optionally a body with its length, into one buffer.
///
/// Bytes that are not allowed at their place, such as a line break in a value, are an error of the whole head:
/// they would end the head, or be read as another field.
///
/// ```
/// use kwg_h1::{HeadError, HeadWriter};
///
/// let mut writer = HeadWriter::request("GET", "/rows");
/// writer.field("Host", "store");
/// assert_eq!(writer.finish()?, b"GET /rows HTTP/1.1\r\nHost: store\r\n\r\n");
/// let mut writer = HeadWriter::request("GET", "/rows");
/// writer.field("X-Name", "i-1\r\n");
/// assert_eq!(writer.finish(), Err(HeadError::Malformed));
/// # Ok::<(), HeadError>(())
/// ```
#[derive(Debug)]
pub struct HeadWriter {
    bytes: Vec<u8>,
    /// Whether all that was written is allowed in a head.
    is_valid: bool,
}

impl HeadWriter {
    /// Starts the head of a request.
    #[must_use]
    pub fn request(method: &str, target: &str) -> Self {
        let is_target =
            !target.is_empty() && target.bytes().all(|byte| byte > b' ' && byte != 0x7f);
        Self {
            bytes: format!("{method} {target} HTTP/1.1\r\n").into_bytes(),
            is_valid: is_token(method) && is_target,
        }
    }

    /// Starts the head of a reply.
    #[must_use]
    pub fn reply(status: u16) -> Self {
        let bytes = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
        Self { bytes, is_valid: true }
    }

    /// Appends a header field. A name that is no token, or a value that is no header text, is an error
    /// of [`Self::finish`].
    pub fn field(&mut self, name: &str, value: impl Display) {
        let start = self.bytes.len() + name.len() + 2;
        self.bytes.extend_from_slice(format!("{name}: {value}").as_bytes());
        self.is_valid &= is_token(name) && is_header_text(&self.bytes[start..]);
        self.bytes.extend_from_slice(b"\r\n");
    }

    /// Appends all header fields of a list.
    pub fn fields(&mut self, headers: &HeaderList) {
        headers.iter().for_each(|(name, value)| self.field(name, value));
    }

    /// Ends the head and returns its bytes.
    ///
    /// # Errors
    /// [`HeadError::Malformed`] if the start line or a field has bytes that are not allowed there.
    pub fn finish(mut self) -> Result<Vec<u8>, HeadError> {
        if !self.is_valid {
            return MalformedSnafu.fail();
        }
        self.bytes.extend_from_slice(b"\r\n");
        Ok(self.bytes)
    }

    /// Ends the head with the length of `body` and returns the bytes of both.
    ///
    /// # Errors
    /// As [`Self::finish`].
    pub fn finish_with(mut self, body: &[u8]) -> Result<Vec<u8>, HeadError> {
        self.field("Content-Length", body.len());
        let mut bytes = self.finish()?;
        bytes.extend_from_slice(body);
        Ok(bytes)
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

/// Whether a text is a token, as names of fields and methods are.
fn is_token(text: &str) -> bool {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token)
}

/// Whether the bytes may stand in the value of a field: no control characters but tabs.
fn is_header_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| (*byte >= b' ' && *byte != 0x7f) || *byte == b'\t')
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
