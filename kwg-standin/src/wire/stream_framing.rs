use std::io::{self, Write};
use std::net::TcpStream;

use kwg_h1::HeadWriter;

/// How the end of a stream's body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFraming {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
}

impl StreamFraming {
    /// Sends a reply whose body is whole.
    pub(super) fn send(
        self,
        stream: &mut TcpStream,
        mut reply: HeadWriter,
        body: &str,
    ) -> io::Result<()> {
        let bytes = match self {
            Self::Length => reply.finish_with(body.as_bytes()).expect("header text"),
            Self::Chunked => {
                reply.field("Transfer-Encoding", "chunked");
                let mut bytes = reply.finish().expect("header text");
                HeadWriter::write_chunk(body.as_bytes(), &mut bytes);
                bytes.extend_from_slice(HeadWriter::LAST_CHUNK);
                bytes
            }
        };
        stream.write_all(&bytes)
    }
}
