use std::io::{self, Read, Write};

use super::RunnerMode;
use super::runner_reply::reply_to;
use super::runner_standin::{WHOLE_EVENTS, reset};
use super::wire_server::RequestReader;

/// A reply that is no complete and valid answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenReply {
    /// The head of an answer without length and a part of its body, sent before the request's body is
    /// read; the connection is reset after this many bytes of that body.
    ResetInUpload(usize),
}

impl BrokenReply {
    /// Sends the reply to the request `id`, of which only the head has been read.
    pub(super) fn send(self, reader: &mut RequestReader, id: &str) -> io::Result<()> {
        match self {
            Self::ResetInUpload(length) => reset_in_upload(reader, id, length),
        }
    }
}

fn reset_in_upload(reader: &mut RequestReader, id: &str, length: usize) -> io::Result<()> {
    let mut reply = reply_to(id, RunnerMode::Answer);
    reply.field("Content-Type", "text/event-stream");
    reply.field("Connection", "close");
    let head = reply.finish().expect("header text");
    reader.stream.write_all(&[&head, WHOLE_EVENTS.as_bytes()].concat())?;
    let (mut left, mut buffer) = (length, [0; 16 << 10]);
    while left > 0 {
        match reader.stream.read(&mut buffer)? {
            0 => return Ok(()),
            count => left = left.saturating_sub(count),
        }
    }
    reset(&reader.stream)
}
