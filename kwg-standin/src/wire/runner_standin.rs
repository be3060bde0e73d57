use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kwg_h1::{HeadWriter, RequestHead};

use super::wire_server::{RequestReader, serve};

/// Events of a whole stream.
const STREAM_EVENTS: u32 = 6;

/// How a runner treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunnerMode {
    /// It answers: streams for `POST /stream/`, a body for the rest.
    #[default]
    Answer,
    /// It answers with a failure of its own.
    Fail,
    /// It declines.
    Decline,
    /// It breaks the connection without an answer.
    Cut,
    /// It breaks the connection in the middle of the third event.
    CutStream,
    /// It answers, and sends a second answer behind the first.
    AnswerTwice,
    /// It answers without a seal.
    Unsealed,
    /// It states a length and sends less.
    ShortBody,
    /// It never answers.
    Hang,
}

/// A request as a runner has seen it.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// A runner on its wire.
#[derive(Debug, Clone)]
pub struct RunnerStandin {
    address: SocketAddr,
    shared: Arc<Mutex<RunnerState>>,
}

#[derive(Debug, Default)]
struct RunnerState {
    mode: RunnerMode,
    seen: Vec<SeenRequest>,
    left: u32,
}

impl RunnerStandin {
    /// Starts a runner.
    ///
    /// # Errors
    /// The system's error if no port is free.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(RunnerState::default()));
        let serving = Arc::clone(&shared);
        let address = serve(move |reader| serve_runner(&serving, reader))?;
        Ok(Self { address, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it treats requests.
    pub fn set_mode(&self, mode: RunnerMode) {
        lock(&self.shared).mode = mode;
    }

    /// The requests that it has seen.
    #[must_use]
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.shared).seen.clone()
    }

    /// How often a caller left while it worked.
    #[must_use]
    pub fn left(&self) -> u32 {
        lock(&self.shared).left
    }
}

fn lock(shared: &Mutex<RunnerState>) -> MutexGuard<'_, RunnerState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve_runner(shared: &Mutex<RunnerState>, reader: &mut RequestReader) -> io::Result<()> {
    while let Some((head, body)) = reader.next()? {
        let mode = lock(shared).mode;
        lock(shared).seen.push(SeenRequest { head: head.clone(), body });
        let id = head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
        match mode {
            RunnerMode::Cut => return Ok(()),
            RunnerMode::Hang => {
                if !matches!(reader.next(), Ok(Some(_))) {
                    lock(shared).left += 1;
                }
                return Ok(());
            }
            RunnerMode::Decline => {
                let mut reply = HeadWriter::reply(503);
                reply.field("X-Knapweedglade-Not-Executed", 1);
                reader.stream.write_all(&reply.finish_with(b""))?;
            }
            _ if head.target.starts_with("/stream/") => {
                if !stream_events(reader, &head, &id, mode)? {
                    return Ok(());
                }
            }
            _ => {
                let body = format!("answer to {id}");
                let mut reply = reply_to(&id, mode);
                if mode == RunnerMode::ShortBody {
                    reply.field("Content-Length", body.len() + 5);
                    let mut bytes = reply.finish();
                    bytes.extend_from_slice(body.as_bytes());
                    reader.stream.write_all(&bytes)?;
                    return reader.stream.shutdown(Shutdown::Write);
                }
                reader.stream.write_all(&reply.finish_with(body.as_bytes()))?;
                if mode == RunnerMode::AnswerTwice {
                    let extra = reply_to(&id, mode).finish_with(b"nobody asked for this");
                    reader.stream.write_all(&extra)?;
                }
            }
        }
    }
    Ok(())
}

/// Streams events behind the last one that the caller has; returns whether all were sent.
fn stream_events(
    reader: &mut RequestReader,
    head: &RequestHead,
    id: &str,
    mode: RunnerMode,
) -> io::Result<bool> {
    let last = head.headers.get("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut reply = reply_to(id, mode);
    reply.field("Content-Type", "text/event-stream");
    reply.field("Transfer-Encoding", "chunked");
    reader.stream.write_all(&reply.finish())?;
    for event in last + 1..=STREAM_EVENTS {
        let mut chunk = Vec::new();
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        if mode == RunnerMode::CutStream && event == last + 3 {
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

fn reply_to(id: &str, mode: RunnerMode) -> HeadWriter {
    let mut reply = HeadWriter::reply(if mode == RunnerMode::Fail { 500 } else { 200 });
    reply.field("X-Knapweedglade-Request-Id", id);
    if mode != RunnerMode::Unsealed {
        reply.field("X-Knapweedglade-Server-Seal", format_args!("seal-{id}"));
    }
    reply
}
