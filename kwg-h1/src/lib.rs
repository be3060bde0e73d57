//! HTTP/1.1 without sockets: heads are parsed strictly, bodies are framed, and a cut body is
//! never taken for a whole one.
//!
//! One codec serves callers, targets, the store and the metrics port; whoever moves the bytes
//! decides how to wait for them.
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
