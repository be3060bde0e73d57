//! Sockets with a buffer, and calls over them.

mod byte_socket;
mod http_call;

pub(crate) use byte_socket::{ByteSocket, SocketReader, SocketWriter};
pub(crate) use http_call::read_reply;
