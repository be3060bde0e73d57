use httparse::{EMPTY_HEADER, Request, Status};

use crate::head_error::{MalformedSnafu, TooLargeSnafu};
use crate::{BodyFraming, HeadError, HeaderList};

/// Maximum number of header fields in a head.
pub(crate) const MAX_FIELDS: usize = 64;

/// Parsed head of a request: method, target, fields and how its body ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path and query, unchanged.
    pub target: String,
    /// The header fields.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection may be reused after the body.
    pub keeps_alive: bool,
}

impl RequestHead {
    /// Parses a head of at most `max_bytes`. Returns the head and its length in bytes, or `None` if
    /// it is incomplete.
    ///
    /// # Errors
    /// [`HeadError`] for a head that violates the grammar, is too long, or has an ambiguous or
    /// invalid length or an unsupported transfer coding.
    ///
    /// ```
    /// use kwg_h1::RequestHead;
    ///
    /// let bytes = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\nrest";
    /// let (head, used) = RequestHead::parse(bytes, 1_024)?.expect("complete");
    /// assert_eq!((head.target.as_str(), used), ("/a", bytes.len() - 4));
    /// # Ok::<(), kwg_h1::HeadError>(())
    /// ```
    pub fn parse(bytes: &[u8], max_bytes: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let Some(length) = head_length(bytes, max_bytes)? else { return Ok(None) };
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut request = Request::new(&mut fields);
        let parsed = request.parse(&bytes[..length]);
        let (Ok(Status::Complete(_)), Some(method), Some(target), Some(1)) =
            (parsed, request.method, request.path, request.version)
        else {
            return MalformedSnafu.fail();
        };
        let headers = decode_fields(request.headers)?;
        if headers.all("host").count() != 1 {
            return MalformedSnafu.fail();
        }
        let framing = BodyFraming::from_headers(&headers)?.unwrap_or(BodyFraming::Length(0));
        let keeps_alive = !headers.has_token("connection", "close");
        let head = Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers,
            framing,
            keeps_alive,
        };
        Ok(Some((head, length)))
    }
}

/// Finds the length of the head; `None` if it is incomplete. Bare line feeds and folded fields
/// are rejected, because HTTP implementations interpret them differently.
pub(crate) fn head_length(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, HeadError> {
    let window = &bytes[..bytes.len().min(max_bytes)];
    let end = window.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    let head = &window[..end.unwrap_or(window.len())];
    let is_bare = |at: usize| head[at] == b'\n' && (at == 0 || head[at - 1] != b'\r');
    let is_folded = |at: usize| head[at] == b'\n' && matches!(head.get(at + 1), Some(b' ' | b'\t'));
    if (0..head.len()).any(|at| is_bare(at) || is_folded(at)) {
        return MalformedSnafu.fail();
    }
    match end {
        None if bytes.len() >= max_bytes => TooLargeSnafu.fail(),
        end => Ok(end),
    }
}

/// Converts parsed fields; values must be UTF-8.
pub(crate) fn decode_fields(fields: &[httparse::Header<'_>]) -> Result<HeaderList, HeadError> {
    let mut headers = HeaderList::default();
    for field in fields {
        let Ok(value) = std::str::from_utf8(field.value) else { return MalformedSnafu.fail() };
        headers.push(field.name, value.trim());
    }
    Ok(headers)
}
