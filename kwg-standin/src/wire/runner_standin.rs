use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use kwg_h1::{HeadWriter, RequestHead};

use super::runner_reply::{reply_to, send_endless, stream_events};
use super::wire_server::{RequestReader, serve};
use super::{BrokenReply, EndlessReply, FatalEnd, StreamFraming};

/// How a runner responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunnerMode {
    /// Answers with an event stream below `/stream/`, and with a body elsewhere.
    #[default]
    Answer,
    /// Answers with status 500.
    Fail,
    /// As [`Self::Fail`], after this many milliseconds.
    FailLate(u64),
    /// Sends the head of an answer with status 500, and then nothing.
    FailHeadOnly,
    /// Answers 503 with the header that marks the request as not executed.
    Decline,
    /// As [`Self::Decline`], after this many milliseconds.
    DeclineLate(u64),
    /// Closes the connection without an answer.
    Disconnect,
    /// Closes the connection in the middle of the third event that it sends.
    DisconnectMidStream,
    /// As [`Self::DisconnectMidStream`], with a stream that has no length and ends with its connection,
    /// after a pause of this many milliseconds within the event.
    DisconnectUnframed(u64),
    /// Ends a stream that is whole by its length or its last chunk within its third event.
    EndWithinEvent(StreamFraming),
    /// Sends two events of a stream without length, and resets the connection.
    ResetUnframed,
    /// Sends a second answer right after the first.
    AnswerTwice,
    /// Answers without the seal header.
    Unsealed,
    /// Sends this many bytes of the head of its answer, and closes the connection.
    CutHead(usize),
    /// Sends a body shorter than its `Content-Length`.
    ShortBody,
    /// Does not answer; closes the connection when a further request arrives.
    Hang,
    /// Sends bytes without end until the peer closes the connection.
    Endless(EndlessReply),
    /// Pauses for this many milliseconds before each event but the first.
    SlowStream(u64),
    /// Pauses once for this many milliseconds: before the third event of a stream, or before an
    /// answer.
    Stall(u64),
    /// Pauses for this many milliseconds before an answer that is no stream.
    SlowAnswer(u64),
    /// Pauses for this many milliseconds before the head of a stream.
    LateStream(u64),
    /// Answers with a body of this many bytes.
    LongAnswer(usize),
    /// Sends two events, and then a byte now and then that completes no event.
    TrickleStream,
    /// Sends two events, and then a comment with a blank line now and then, which is no event.
    CommentStream,
    /// Ends the lines of events with CR LF, and pauses for a second before the last event.
    CrLfStream,
    /// Sends the head of an answer, in a stream also a comment, and then nothing.
    HeadOnly,
    /// Sends the head of an answer before it reads the request's body, and then an answer that says how
    /// long the body was.
    EarlyHead,
    /// Answers, and sends a copy of the answer without an id in reply to the connection's next
    /// request.
    AnonymousCopy,
    /// Declines the first request of a connection, and sends that refusal once more in reply to the
    /// next one, which it runs.
    RepeatRefusal,
    /// As [`Self::Answer`], and says in each answer that it leaves.
    Leaving,
    /// Declines with the mark that it leaves.
    DeclineLeaving,
    /// Declines with 503, and wants no request for this many milliseconds.
    Pause(u64),
    /// Sends a reply that is truncated or malformed.
    Broken(BrokenReply),
    /// Answers with status 500 if the request resumes a stream; otherwise as [`Self::DisconnectMidStream`].
    FailResumed,
}

/// A request that a runner has received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request head.
    pub head: RequestHead,
    /// Request body.
    pub body: Vec<u8>,
}

/// A runner that serves the platform's wire protocol on a local port.
#[derive(Debug, Clone)]
pub struct RunnerStandin {
    address: SocketAddr,
    shared: Arc<Mutex<RunnerState>>,
}

#[derive(Debug, Default)]
struct RunnerState {
    mode: RunnerMode,
    received: Vec<ReceivedRequest>,
    abandoned: u32,
    /// How the runner ends when a request has this text in its path.
    fatal: Option<(String, FatalEnd)>,
    is_down: bool,
    /// The open connections by the address of the peer.
    connections: HashMap<SocketAddr, TcpStream>,
}

impl RunnerStandin {
    /// Starts a runner on a free port.
    ///
    /// # Errors
    /// The I/O error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(RunnerState::default()));
        let serving = Arc::clone(&shared);
        let address = serve(move |reader| serve_connection(&serving, reader))?;
        Ok(Self { address, shared })
    }

    /// Address on which the runner listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the runner responds to requests from now on.
    pub fn set_mode(&self, mode: RunnerMode) {
        lock(&self.shared).mode = mode;
    }

    /// Makes the runner end under requests that have this text in their path.
    pub fn set_fatal(&self, text: &str, end: FatalEnd) {
        lock(&self.shared).fatal = Some((text.to_owned(), end));
    }

    /// Whether the runner has ended and is not back.
    #[must_use]
    pub fn is_down(&self) -> bool {
        lock(&self.shared).is_down
    }

    /// Lets a runner that has ended be back, with no connection of before.
    pub fn revive(&self) {
        lock(&self.shared).is_down = false;
        self.close_connections();
    }

    /// Closes all connections, in the middle of whatever is being sent. New ones are accepted.
    pub fn close_connections(&self) {
        for connection in lock(&self.shared).connections.values() {
            if let Err(error) = connection.shutdown(Shutdown::Both) {
                log::debug!("event=standin-close-failed error={error}");
            }
        }
    }

    /// All requests received so far, in order.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared).received.clone()
    }

    /// How many callers closed their connection in mode `Hang`.
    #[must_use]
    pub fn abandoned(&self) -> u32 {
        lock(&self.shared).abandoned
    }
}

fn lock(shared: &Mutex<RunnerState>) -> MutexGuard<'_, RunnerState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve_connection(shared: &Mutex<RunnerState>, reader: &mut RequestReader) -> io::Result<()> {
    let is_silent = {
        let state = lock(shared);
        let silent = matches!(state.fatal, Some((_, FatalEnd::Silent)));
        state.is_down.then_some(silent)
    };
    match is_silent {
        Some(true) => return reader.drain(),
        Some(false) => return Ok(()),
        None => {}
    }
    let peer = reader.stream.peer_addr()?;
    lock(shared).connections.insert(peer, reader.stream.try_clone()?);
    let ended = serve_runner(shared, reader);
    // The connection stays open as long as there is a copy of it.
    lock(shared).connections.remove(&peer);
    ended
}

/// Two events of a stream.
pub(super) const WHOLE_EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
/// The same and a part of the third.
const CUT_EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\nda";

/// Ends the runner under a request, with all of its connections.
fn end_under(
    shared: &Mutex<RunnerState>,
    reader: &mut RequestReader,
    id: &str,
    end: FatalEnd,
) -> io::Result<()> {
    lock(shared).is_down = true;
    if end == FatalEnd::Silent {
        return reader.drain();
    }
    let sent = end.send_part(&mut reader.stream, id);
    for connection in lock(shared).connections.values() {
        if let Err(error) = connection.shutdown(Shutdown::Both) {
            log::debug!("event=standin-close-failed error={error}");
        }
    }
    sent
}

fn serve_runner(shared: &Mutex<RunnerState>, reader: &mut RequestReader) -> io::Result<()> {
    while let Some(head) = reader.next_head()? {
        let mode = lock(shared).mode;
        let id = head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
        if mode == RunnerMode::EarlyHead {
            let mut reply = reply_to(&id, mode);
            reply.field("Transfer-Encoding", "chunked");
            reader.stream.write_all(&reply.finish().expect("header text"))?;
        }
        if let RunnerMode::Broken(reply) = mode {
            lock(shared).received.push(ReceivedRequest { head: head.clone(), body: Vec::new() });
            return reply.send(reader, &head, &id);
        }
        let Some(body) = reader.body(&head)? else { return Ok(()) };
        let length = body.len();
        let fatal = {
            let mut state = lock(shared);
            if state.is_down {
                // It has fallen silent, or its connections are being closed.
                drop(state);
                return reader.drain();
            }
            state.received.push(ReceivedRequest { head: head.clone(), body });
            let parts = head.headers.get("X-Knapweedglade-Prefix-Hash").unwrap_or("");
            let is_fatal = |text: &str| head.target.contains(text) || parts.contains(text);
            let fatal = state.fatal.clone().filter(|(text, _)| is_fatal(text));
            fatal.map(|(_, end)| end)
        };
        if let Some(end) = fatal {
            return end_under(shared, reader, &id, end);
        }
        match mode {
            RunnerMode::EarlyHead => {
                let text = match head.target.starts_with("/stream/") {
                    true => format!("id: 1\ndata: {length} bytes\n\n"),
                    false => format!("{length} bytes"),
                };
                let mut bytes = Vec::new();
                HeadWriter::write_chunk(text.as_bytes(), &mut bytes);
                bytes.extend_from_slice(HeadWriter::LAST_CHUNK);
                reader.stream.write_all(&bytes)?;
            }
            RunnerMode::Disconnect => return Ok(()),
            RunnerMode::Hang => {
                if !matches!(reader.next(), Ok(Some(_))) {
                    lock(shared).abandoned += 1;
                }
                return Ok(());
            }
            RunnerMode::Endless(part) => return send_endless(reader, part, &id),
            RunnerMode::HeadOnly | RunnerMode::FailHeadOnly => {
                let mut reply = reply_to(&id, mode);
                reply.field("Transfer-Encoding", "chunked");
                let mut bytes = reply.finish().expect("header text");
                if mode == RunnerMode::HeadOnly && head.target.starts_with("/stream/") {
                    HeadWriter::write_chunk(b": no event\n\n", &mut bytes);
                }
                reader.stream.write_all(&bytes)?;
                // Keeps the connection until the peer closes it.
                reader.next()?;
                return Ok(());
            }
            RunnerMode::AnonymousCopy => {
                let body = format!("answer to {id}");
                let reply = reply_to(&id, mode).finish_with(body.as_bytes()).expect("header text");
                reader.stream.write_all(&reply)?;
                // The copy arrives when the next request is on its way.
                if reader.next()?.is_some() {
                    let mut copy = HeadWriter::reply(200);
                    copy.field("X-Knapweedglade-Server-Seal", "seal");
                    reader
                        .stream
                        .write_all(&copy.finish_with(body.as_bytes()).expect("header text"))?;
                }
                return Ok(());
            }
            RunnerMode::RepeatRefusal => {
                let mut refusal = HeadWriter::reply(503);
                refusal.field("X-Knapweedglade-Request-Id", &id);
                refusal.field("X-Knapweedglade-Not-Executed", 1);
                let refusal = refusal.finish_with(b"").expect("header text");
                reader.stream.write_all(&refusal)?;
                // The first request has not run.
                lock(shared).received.pop();
                if let Some((head, body)) = reader.next()? {
                    let next =
                        head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
                    lock(shared).received.push(ReceivedRequest { head, body });
                    reader.stream.write_all(&refusal)?;
                    let body = format!("answer to {next}");
                    let answer =
                        reply_to(&next, mode).finish_with(body.as_bytes()).expect("header text");
                    reader.stream.write_all(&answer)?;
                }
                return Ok(());
            }
            RunnerMode::FailResumed if head.headers.get("Last-Event-Id").is_some() => {
                let reply = reply_to(&id, RunnerMode::Fail);
                reader.stream.write_all(
                    &reply.finish_with(b"id: 9\ndata: internal error\n\n").expect("header text"),
                )?;
            }
            RunnerMode::Decline
            | RunnerMode::DeclineLate(_)
            | RunnerMode::DeclineLeaving
            | RunnerMode::Pause(_) => {
                if let RunnerMode::DeclineLate(pause_ms) = mode {
                    std::thread::sleep(Duration::from_millis(pause_ms));
                }
                let mut reply = HeadWriter::reply(503);
                reply.field("X-Knapweedglade-Not-Executed", 1);
                match mode {
                    RunnerMode::DeclineLeaving => reply.field("Server-Leaving", 1),
                    RunnerMode::Pause(millis) => {
                        reply.field("Retry-After", millis as f64 / 1e3);
                    }
                    _ => {}
                }
                reader.stream.write_all(&reply.finish_with(b"").expect("header text"))?;
            }
            RunnerMode::CutHead(length) => {
                let head = reply_to(&id, mode).finish_with(b"x").expect("header text");
                reader.stream.write_all(&head[..length.min(head.len() - 2)])?;
                return reader.stream.shutdown(Shutdown::Write);
            }
            RunnerMode::EndWithinEvent(framing) => {
                let mut reply = reply_to(&id, mode);
                reply.field("Content-Type", "text/event-stream");
                framing.send(&mut reader.stream, reply, CUT_EVENTS)?;
            }
            RunnerMode::ResetUnframed => {
                let mut reply = reply_to(&id, mode);
                reply.field("Content-Type", "text/event-stream");
                reply.field("Connection", "close");
                let events = WHOLE_EVENTS.as_bytes();
                reader
                    .stream
                    .write_all(&[&reply.finish().expect("header text"), events].concat())?;
                // What has arrived is read before the reset.
                std::thread::sleep(Duration::from_millis(100));
                return reader.reset_on_close();
            }
            _ if head.target.starts_with("/stream/") => {
                if !stream_events(reader, &head, &id, mode)? {
                    return Ok(());
                }
            }
            _ => {
                if let RunnerMode::Stall(pause_ms)
                | RunnerMode::SlowAnswer(pause_ms)
                | RunnerMode::FailLate(pause_ms) = mode
                {
                    std::thread::sleep(Duration::from_millis(pause_ms));
                }
                let body = match mode {
                    RunnerMode::LongAnswer(length) => "a".repeat(length),
                    _ => format!("answer to {id}"),
                };
                let mut reply = reply_to(&id, mode);
                if mode == RunnerMode::ShortBody {
                    reply.field("Content-Length", body.len() + 5);
                    let mut bytes = reply.finish().expect("header text");
                    bytes.extend_from_slice(body.as_bytes());
                    reader.stream.write_all(&bytes)?;
                    return reader.stream.shutdown(Shutdown::Write);
                }
                reader
                    .stream
                    .write_all(&reply.finish_with(body.as_bytes()).expect("header text"))?;
                if mode == RunnerMode::AnswerTwice {
                    let extra = reply_to(&id, mode)
                        .finish_with(b"nobody asked for this")
                        .expect("header text");
                    reader.stream.write_all(&extra)?;
                }
            }
        }
    }
    Ok(())
}
