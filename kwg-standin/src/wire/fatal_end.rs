use std::io::{self, Write};
use std::net::TcpStream;

use kwg_h1::HeadWriter;

use super::RunnerMode;
use super::runner_reply::reply_to;

/// What a runner has sent of its reply to the request under which it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FatalEnd {
    /// Nothing.
    NoAnswer,
    /// A part of the head.
    InHead,
    /// The head and a part of the body.
    InBody,
    /// Two events of a stream and a part of the third.
    MidStream,
    /// Nothing; all of its connections fall silent instead of being closed.
    Silent,
}

impl FatalEnd {
    /// Sends the part of the reply.
    pub(super) fn send_part(self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let mut reply = reply_to(id, RunnerMode::Answer);
        match self {
            Self::NoAnswer | Self::Silent => Ok(()),
            Self::InHead => stream.write_all(&reply.finish_with(b"x").expect("header text")[..20]),
            Self::InBody => {
                reply.field("Content-Length", 100);
                stream
                    .write_all(&[reply.finish().expect("header text"), b"a part".to_vec()].concat())
            }
            Self::MidStream => {
                reply.field("Content-Type", "text/event-stream");
                reply.field("Transfer-Encoding", "chunked");
                let mut bytes = reply.finish().expect("header text");
                let text = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\nda";
                HeadWriter::write_chunk(text.as_bytes(), &mut bytes);
                stream.write_all(&bytes)
            }
        }
    }
}
