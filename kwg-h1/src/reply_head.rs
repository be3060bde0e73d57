use std::ops::RangeInclusive;
use std::time::Duration;

use httparse::{EMPTY_HEADER, Response, Status};

use crate::head_error::MalformedSnafu;
use crate::request_head::{MAX_FIELDS, decode_fields, head_length};
use crate::{BodyFraming, HeadError, HeaderList};

/// Maximum length of a head from a target or the store, in bytes.
const MAX_REPLY_HEAD: usize = 32 << 10;
/// Valid status codes (RFC 9110, section 15). Others do not tell whether the reply is interim or final.
const VALID_STATUS: RangeInclusive<u16> = 100..=599;

/// Parsed head of a reply: status, fields and how its body ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyHead {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// The header fields.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection may be reused after the body.
    pub keeps_alive: bool,
}

impl ReplyHead {
    /// Parses a head. Returns the head and its length in bytes, or `None` if it is incomplete.
    ///
    /// # Errors
    /// [`HeadError`] for bytes that are not an HTTP/1.x reply, a status out of range, an ambiguous or
    /// invalid length, an unsupported transfer coding, or a head over 32 KiB.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let is_http = bytes.iter().zip(b"HTTP/1.").all(|(byte, expected)| byte == expected);
        if !is_http {
            return MalformedSnafu.fail();
        }
        let Some(length) = head_length(bytes, MAX_REPLY_HEAD)? else { return Ok(None) };
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut response = Response::new(&mut fields);
        let parsed = response.parse(&bytes[..length]);
        let (Ok(Status::Complete(_)), Some(status), Some(minor)) =
            (parsed, response.code, response.version)
        else {
            return MalformedSnafu.fail();
        };
        if !VALID_STATUS.contains(&status) {
            return MalformedSnafu.fail();
        }
        let headers = decode_fields(response.headers)?;
        let has_no_body = status < 200 || status == 204 || status == 304;
        let framing = match BodyFraming::from_headers(&headers)? {
            _ if has_no_body => BodyFraming::Length(0),
            Some(framing) => framing,
            None => BodyFraming::UntilClose,
        };
        let has_close = headers.has_token("connection", "close");
        let keeps_alive = minor == 1 && !has_close && framing != BodyFraming::UntilClose;
        Ok(Some((Self { status, headers, framing, keeps_alive }, length)))
    }

    /// How long the peer keeps an idle connection open, if it states this in whole seconds.
    #[must_use]
    pub fn idle_timeout(&self) -> Option<Duration> {
        let value = self.headers.get("keep-alive")?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    }
}
