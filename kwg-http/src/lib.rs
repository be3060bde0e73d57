//! HTTP/1.1 helpers for the connections to callers, targets and the platform: sockets for async-h1,
//! single calls, and bodies whose truncation is an error.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod body_reader;
mod call_client;
mod socket_stream;
mod streaming_body;

pub use body_reader::{BodyError, BodyReader};
pub use call_client::{CallClient, CallError, HttpReply};
pub use socket_stream::SocketStream;
pub use streaming_body::{ByteSource, StreamingBody};
