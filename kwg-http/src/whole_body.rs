use futures_lite::AsyncReadExt;
use http_types::Body;
use snafu::{ResultExt, Snafu, ensure};

/// Reads bodies to their end and tells a cut from the end.
#[derive(Debug, Clone, Copy)]
pub struct WholeBody;

/// The error for a body that is not whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The connection ended before the body did.
    #[snafu(display("the body ended after {read} of {length} bytes"))]
    Cut {
        /// Bytes read.
        read: usize,
        /// Bytes announced.
        length: usize,
    },
    /// The connection failed.
    #[snafu(display("reading the body failed"))]
    Read {
        /// The cause.
        source: std::io::Error,
    },
}

impl WholeBody {
    /// Reads a body of at most `limit` bytes.
    ///
    /// A body with an announced length is counted, since the HTTP library takes the end of the
    /// connection for the end of such a body.
    ///
    /// # Errors
    /// [`BodyError`] for a body that is too long, cut short or unreadable.
    ///
    /// ```
    /// use http_types::Body;
    /// use kwg_http::WholeBody;
    ///
    /// let read = WholeBody::read(Body::from("hello"), 10);
    /// assert_eq!(futures_lite::future::block_on(read).expect("whole"), b"hello");
    /// let read = WholeBody::read(Body::from("hello"), 4);
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
            ensure!(bytes.len() == length, CutSnafu { read: bytes.len(), length });
        }
        Ok(bytes)
    }
}
