//! HTTP/1.1 plumbing shared by callers, targets and the platform: sockets that async-h1 takes,
//! one-shot calls, and bodies whose cut is an error.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod call_client;
mod socket_stream;
mod source_body;
mod whole_body;

pub use call_client::{CallClient, CallError, HttpReply};
pub use socket_stream::SocketStream;
pub use source_body::{ByteSource, SourceBody};
pub use whole_body::{BodyError, WholeBody};
