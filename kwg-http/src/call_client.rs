use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use kwg_clock::ClockHandle;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{BodyError, BodyReader, SocketStream};

/// Maximum length of a reply's body, in bytes.
const REPLY_MAX_BYTES: usize = 64 << 20;

/// Makes HTTP calls to one address, each on its own connection and with a timeout.
#[derive(Debug, Clone)]
pub struct CallClient {
    address: SocketAddr,
    timeout: Duration,
    clock: ClockHandle,
}

/// Complete reply to a call.
#[derive(Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// Error of a call without a complete reply.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The path does not form a valid URL.
    #[snafu(display("'{path}' is not a valid path"))]
    BadPath {
        /// The path.
        path: String,
    },
    /// Connecting failed; nothing was sent.
    #[snafu(display("{address} cannot be reached: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Sending the request or receiving the response failed; the call may have taken effect.
    #[snafu(display("the call to {address} failed: {reason}"))]
    Exchange {
        /// The address.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The reply is incomplete, too long or states no length; the call may have taken effect.
    #[snafu(display("cannot read the reply of {address}: {source}"))]
    Reply {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: BodyError,
    },
    /// No complete reply within the timeout; the call may have taken effect.
    #[snafu(display("{address} did not reply within {} ms", timeout.as_millis()))]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The timeout that was exceeded.
        timeout: Duration,
    },
}

impl CallClient {
    /// Creates a client for one address. The timeout applies to connecting and, separately, to the
    /// rest of a call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, clock: ClockHandle) -> Self {
        Self { address, timeout, clock }
    }

    /// Returns the address that is called.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates a request for a path of this address.
    ///
    /// # Errors
    /// [`CallError::BadPath`] if the path does not form a valid URL.
    pub fn request(&self, method: Method, path: impl AsRef<str>) -> Result<Request, CallError> {
        let path = path.as_ref();
        let url = Url::parse(&format!("http://{}{path}", self.address)).ok();
        Ok(Request::new(method, url.context(BadPathSnafu { path })?))
    }

    /// Connects within the timeout.
    ///
    /// # Errors
    /// [`CallError::Connect`], in which case nothing was sent.
    pub async fn connect(&self) -> Result<SocketStream, CallError> {
        let address = self.address;
        let timeout = async {
            self.clock.sleep(self.timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        SocketStream::connect(address).or(timeout).await.context(ConnectSnafu { address })
    }

    /// Sends a request on `stream` and waits, without a timeout, for the head of its
    /// response.
    ///
    /// # Errors
    /// [`CallError::Exchange`], in which case the call may have taken effect.
    pub async fn open(
        &self,
        stream: SocketStream,
        request: Request,
    ) -> Result<Response, CallError> {
        let address = self.address;
        let response = async_h1::connect(stream, request).await;
        response.map_err(|error| CallError::Exchange { address, reason: error.to_string() })
    }

    /// Sends a request and reads its complete reply.
    ///
    /// # Errors
    /// [`CallError`]. After [`CallError::Connect`] nothing was sent; after any other error the call
    /// may have taken effect.
    pub async fn call(&self, request: Request) -> Result<HttpReply, CallError> {
        let (address, timeout) = (self.address, self.timeout);
        let stream = self.connect().await?;
        let exchange = async {
            let mut response = self.open(stream, request).await?;
            let body = BodyReader::read_reply(&mut response, REPLY_MAX_BYTES).await;
            let body = body.context(ReplySnafu { address })?;
            Ok(HttpReply { status: response.status(), body })
        };
        let timed_out = async {
            self.clock.sleep(timeout).await;
            TimeoutSnafu { address, timeout }.fail()
        };
        exchange.or(timed_out).await
    }
}
