use std::io::{self, Write};
use std::time::Duration;

use kwg_h1::{HeadWriter, RequestHead};

use super::wire_server::RequestReader;
use super::{EndlessReply, RunnerMode};

/// Number of events in a complete stream.
const STREAM_EVENTS: u32 = 6;

/// Sends bytes until the peer closes the connection, which ends this with an error.
pub(super) fn send_endless(
    reader: &mut RequestReader,
    part: EndlessReply,
    id: &str,
) -> io::Result<()> {
    let (start, repeated) = part.parts(id);
    reader.stream.write_all(start.as_bytes())?;
    let block = repeated.repeat((4 << 10) / repeated.len());
    loop {
        reader.stream.write_all(block.as_bytes())?;
    }
}

/// Sends the events after the last one that the caller has, and returns whether all were sent.
pub(super) fn stream_events(
    reader: &mut RequestReader,
    head: &RequestHead,
    id: &str,
    mode: RunnerMode,
) -> io::Result<bool> {
    if let RunnerMode::LateStream(pause_ms) = mode {
        std::thread::sleep(Duration::from_millis(pause_ms));
    }
    let last = head.headers.get("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut reply = reply_to(id, mode);
    reply.field("Content-Type", "text/event-stream");
    if let RunnerMode::DisconnectUnframed(pause_ms) = mode {
        let text = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\nda";
        reader.stream.write_all(&[reply.finish().expect("header text"), text.into()].concat())?;
        std::thread::sleep(Duration::from_millis(pause_ms));
        return Ok(false);
    }
    reply.field("Transfer-Encoding", "chunked");
    reader.stream.write_all(&reply.finish().expect("header text"))?;
    for event in last + 1..=STREAM_EVENTS {
        let mut chunk = Vec::new();
        let text = match mode {
            RunnerMode::CrLfStream => format!("id: {event}\r\ndata: piece {event}\r\n\r\n"),
            _ => format!("id: {event}\ndata: piece {event}\n\n"),
        };
        match mode {
            RunnerMode::SlowStream(pause_ms) if event > last + 1 => {
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
            RunnerMode::Stall(pause_ms) if event == last + 3 => {
                std::thread::sleep(Duration::from_millis(pause_ms));
            }
            RunnerMode::CrLfStream if event == STREAM_EVENTS => {
                std::thread::sleep(Duration::from_secs(1));
            }
            RunnerMode::TrickleStream | RunnerMode::CommentStream if event == last + 3 => loop {
                let bytes: &[u8] = match mode {
                    RunnerMode::CommentStream => b":\n\n",
                    _ => b":",
                };
                HeadWriter::write_chunk(bytes, &mut chunk);
                reader.stream.write_all(&chunk)?;
                chunk.clear();
                std::thread::sleep(Duration::from_millis(200));
            },
            _ => {}
        }
        if matches!(mode, RunnerMode::DisconnectMidStream | RunnerMode::FailResumed)
            && event == last + 3
        {
            HeadWriter::write_chunk(&text.as_bytes()[..text.len() / 2], &mut chunk);
            reader.stream.write_all(&chunk)?;
            return Ok(false);
        }
        HeadWriter::write_chunk(text.as_bytes(), &mut chunk);
        reader.stream.write_all(&chunk)?;
        std::thread::sleep(Duration::from_millis(10));
    }
    reader.stream.write_all(HeadWriter::LAST_CHUNK)?;
    Ok(true)
}

/// Starts a reply with the status of `mode`, the request's id and the seal.
pub(super) fn reply_to(id: &str, mode: RunnerMode) -> HeadWriter {
    let mut reply = HeadWriter::reply(match mode {
        RunnerMode::Fail | RunnerMode::FailLate(_) | RunnerMode::FailHeadOnly => 500,
        _ => 200,
    });
    reply.field("X-Knapweedglade-Request-Id", id);
    if mode == RunnerMode::Leaving {
        reply.field("Server-Leaving", 1);
    }
    if mode != RunnerMode::Unsealed {
        reply.field("X-Knapweedglade-Server-Seal", format_args!("seal-{id}"));
    }
    reply
}
