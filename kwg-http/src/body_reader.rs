use futures_lite::AsyncReadExt;
use http_types::Body;
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
}
