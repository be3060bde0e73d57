use futures_lite::AsyncReadExt;
use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Response, StatusCode};
use snafu::{ResultExt, Snafu, ensure};

/// Reads complete bodies and detects truncated ones.
#[derive(Debug, Clone, Copy)]
pub struct BodyReader;

/// Error of reading a complete body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection ended before the body did.
    #[snafu(display("the body ended after {read} of {length} bytes"))]
    Truncated {
        /// The number of bytes read.
        read: usize,
        /// The length announced by the header, in bytes.
        length: usize,
    },
    /// The reply states no length, so a truncated body cannot be told from a complete one.
    #[snafu(display("the reply states no length"))]
    NoLength,
    /// The connection failed.
    #[snafu(display("reading the body failed"))]
    Read {
        /// The cause.
        source: std::io::Error,
    },
}

impl BodyReader {
    /// Reads a body of at most `limit` bytes.
    ///
    /// The bytes of a body with an announced length are counted, because the HTTP library accepts
    /// the end of the connection as the end of such a body.
    ///
    /// # Errors
    /// [`BodyError`] for a body that is too long, truncated or unreadable.
    ///
    /// ```
    /// use http_types::Body;
    /// use kwg_http::BodyReader;
    ///
    /// let read = BodyReader::read(Body::from("hello"), 10);
    /// assert_eq!(futures_lite::future::block_on(read).expect("whole"), b"hello");
    /// let read = BodyReader::read(Body::from("hello"), 4);
    /// assert!(futures_lite::future::block_on(read).is_err());
    /// ```
    pub async fn read(body: Body, limit: usize) -> Result<Vec<u8>, BodyError> {
        let announced = body.len();
        ensure!(announced.is_none_or(|length| length <= limit), TooLongSnafu { limit });
        let mut bytes = Vec::with_capacity(announced.unwrap_or(0));
        let mut reader = body.into_reader().take(limit as u64 + 1);
        reader.read_to_end(&mut bytes).await.context(ReadSnafu)?;
        ensure!(bytes.len() <= limit, TooLongSnafu { limit });
        if let Some(length) = announced {
            ensure!(bytes.len() == length, TruncatedSnafu { read: bytes.len(), length });
        }
        Ok(bytes)
    }

    /// Reads the body of a reply, of at most `limit` bytes.
    ///
    /// # Errors
    /// [`BodyError::NoLength`] for a body that ends with its connection, and as [`Self::read`].
    ///
    /// ```
    /// use http_types::{Response, StatusCode};
    /// use kwg_http::BodyReader;
    ///
    /// let mut reply = Response::new(StatusCode::NoContent);
    /// let read = BodyReader::read_reply(&mut reply, 10);
    /// assert_eq!(futures_lite::future::block_on(read).expect("whole"), b"");
    /// ```
    pub async fn read_reply(reply: &mut Response, limit: usize) -> Result<Vec<u8>, BodyError> {
        ensure!(has_known_end(reply), NoLengthSnafu);
        Self::read(reply.take_body(), limit).await
    }
}

/// Whether the end of a reply's body is known. The HTTP library replaces a body that ends with its
/// connection by an empty one.
fn has_known_end(reply: &Response) -> bool {
    let is_bodiless = matches!(reply.status(), StatusCode::NoContent | StatusCode::NotModified);
    let is_replaced = reply.len() == Some(0) && reply.header(CONTENT_LENGTH).is_none();
    is_bodiless || !is_replaced
}
