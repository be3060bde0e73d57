use std::io::{self, Read, Write};

use kwg_h1::RequestHead;

use super::RunnerMode;
use super::runner_reply::reply_to;
use super::runner_standin::WHOLE_EVENTS;
use super::wire_server::RequestReader;

/// A reply that is truncated or malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenReply {
    /// The head of an answer without length and a part of its body, sent before the request's body is
    /// read; the connection is reset after this many bytes of that body.
    ResetInUpload(usize),
    /// An answer with this status; the connection stays open.
    Status(u16),
    /// The same, with a body that is a valid answer itself.
    StatusBeforeAnswer(u16),
    /// An answer with this line at the start of its head; the connection stays open.
    HeadLine(&'static str),
}

impl BrokenReply {
    /// Sends the reply to the request `id`, of which only the head has been read.
    pub(super) fn send(
        self,
        reader: &mut RequestReader,
        head: &RequestHead,
        id: &str,
    ) -> io::Result<()> {
        let body = format!("answer to {id}");
        let bytes = match self {
            Self::ResetInUpload(length) => return reset_in_upload(reader, id, length),
            Self::Status(status) => reply_with(&format!("{status:03} Unknown"), "", id, &body),
            Self::StatusBeforeAnswer(status) => {
                let answer = reply_with("200 OK", "", id, &body);
                reply_with(&format!("{status:03} Unknown"), "", id, &answer)
            }
            Self::HeadLine(line) => reply_with("200 OK", &format!("{line}\r\n"), id, &body),
        };
        reader.body(head)?;
        reader.stream.write_all(bytes.as_bytes())?;
        reader.drain()
    }
}

/// A reply with a status line and further lines of its head that need not be valid.
fn reply_with(status: &str, lines: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{lines}X-Knapweedglade-Request-Id: {id}\r\n\
         X-Knapweedglade-Server-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
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
    reader.reset_on_close()
}
