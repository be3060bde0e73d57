//! Buffered TCP sockets, and HTTP replies read from them.

mod byte_socket;
mod caller_listener;
mod http_call;
mod paced_writer;

pub(crate) use byte_socket::{ByteSocket, SocketReader, SocketWriter};
pub(crate) use caller_listener::{CallerListener, KERNEL_BYTES};
pub(crate) use http_call::{read_reply, skip_body};
pub(crate) use paced_writer::PacedWriter;
