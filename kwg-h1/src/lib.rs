//! HTTP/1.1 codec without I/O: parses heads strictly, decodes body framing and never mistakes a
//! truncated body for a complete one.
//!
//! The same codec is used for callers, targets, the store and the metrics port. The code that
//! reads and writes the sockets decides how to wait for bytes.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod body_decoder;
mod body_framing;
mod head_error;
mod head_writer;
mod header_list;
mod reply_head;
mod request_head;

pub use body_decoder::BodyDecoder;
pub use body_framing::BodyFraming;
pub use head_error::HeadError;
pub use head_writer::HeadWriter;
pub use header_list::HeaderList;
pub use reply_head::ReplyHead;
pub use request_head::RequestHead;
