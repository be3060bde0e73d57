use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::FutureExt;
use kwg_adapter::{CallerCodec, CallerFault};
use kwg_gate::{FinalWord, RefusalReason, RequestFacts};
use kwg_h1::{BodyDecoder, RequestHead};
use kwg_model::MonoTime;

use super::answer_relay::AnswerRelay;
use super::request_pipeline::{PipelineEnd, RequestPipeline};
use super::traffic_hub::TrafficHub;
use crate::socket::{ByteSocket, SocketReader};

/// Bytes that a caller may send ahead while its request is being answered.
const READ_AHEAD: usize = 32 << 10;

/// When a caller that comes to a stopping instance should try again: at once, elsewhere.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

/// A caller's connection, which carries one request after another.
#[derive(Debug)]
pub(crate) struct FrontConnection {
    hub: Rc<TrafficHub>,
}

/// A request that has been read.
struct IncomingRequest {
    head: RequestHead,
    facts: RequestFacts,
    body: BodyPermit,
}

/// Why there is no request.
enum ReadEnd {
    Faulty(CallerFault),
    Closed,
}

/// A body, counted among those that the process holds.
struct BodyPermit {
    hub: Rc<TrafficHub>,
    bytes: Vec<u8>,
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.hub.body_bytes.set(self.hub.body_bytes.get().saturating_sub(self.bytes.len()));
    }
}

/// Counts an open connection.
struct OpenGuard(Rc<TrafficHub>);

impl OpenGuard {
    fn new(hub: &Rc<TrafficHub>) -> Self {
        hub.open_connections.set(hub.open_connections.get() + 1);
        Self(Rc::clone(hub))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
    }
}

impl FrontConnection {
    pub(crate) fn new(hub: &Rc<TrafficHub>) -> Self {
        Self { hub: Rc::clone(hub) }
    }

    /// Serves requests until either side ends the connection.
    pub(crate) async fn serve(self, stream: Async<TcpStream>) {
        let guard = OpenGuard::new(&self.hub);
        let mut socket = ByteSocket::new(stream);
        while self.serve_one(&mut socket).await {}
        drop(socket);
        drop(guard);
    }

    /// Serves one request; returns whether another may follow.
    async fn serve_one(&self, socket: &mut ByteSocket) -> bool {
        let (mut reader, writer) = socket.split();
        let (head, facts, body) = match self.read_request(&mut reader, writer).await {
            Ok(IncomingRequest { head, facts, body }) => (head, facts, body),
            Err(ReadEnd::Faulty(fault)) => {
                log::info!("event=request-refused reason={fault:?}");
                if let Err((_, error)) = writer.write(&CallerCodec::encode_fault(fault)).await {
                    log::debug!("event=caller-lost error={error}");
                }
                return false;
            }
            Err(ReadEnd::Closed) => return false,
        };
        let keeps_alive = head.keeps_alive && !self.hub.is_stopping.get();
        let mut relay = AnswerRelay::new(writer, keeps_alive);
        if self.hub.is_closed.get() {
            let word = FinalWord::refused_until(RefusalReason::Stopping, STOPPING_RETRY);
            self.hub.metrics.note_end(word.as_str());
            log::info!("event=request-ended id={} outcome={}", facts.id, word.as_str());
            if relay.send_word(word, &facts.id).await.is_err() {
                log::debug!("event=caller-lost");
            }
            return false;
        }
        let pipeline = RequestPipeline { hub: &self.hub, head: &head, body: &body.bytes };
        let id = facts.id.clone();
        let departure = async {
            reader.wait_closed(READ_AHEAD).await;
            log::info!("event=request-ended id={id} outcome=caller-left");
            self.hub.metrics.note_end("caller-left");
            PipelineEnd::Broken
        };
        let end = pipeline.run(facts, &mut relay).or(departure).await;
        end == PipelineEnd::Complete && keeps_alive
    }

    async fn read_request(
        &self,
        reader: &mut SocketReader<'_>,
        writer: crate::socket::SocketWriter<'_>,
    ) -> Result<IncomingRequest, ReadEnd> {
        let limits = self.hub.limits();
        let idle = async {
            self.hub.clock.sleep(limits.idle_timeout).await;
            false
        };
        let stopped = async {
            self.hub.idle_closed().await;
            false
        };
        let first = async {
            !reader.inbox().is_empty() || matches!(reader.fill().await, Ok(count) if count > 0)
        };
        if !first.or(idle).or(stopped).await {
            return Err(ReadEnd::Closed);
        }
        let arrived = self.hub.clock.now();
        let slow = async {
            self.hub.clock.sleep_until(arrived + limits.head_timeout).await;
            Err(ReadEnd::Faulty(CallerFault::TooSlow))
        };
        let head = read_head(reader, limits.head_bytes).or(slow).await?;
        let facts = CallerCodec::decode(&head, arrived).map_err(ReadEnd::Faulty)?;
        if head.headers.has_token("expect", "100-continue")
            && writer.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return Err(ReadEnd::Closed);
        }
        let body = self.read_body(reader, &head, facts.deadline, limits.body_bytes).await?;
        Ok(IncomingRequest { head, facts, body })
    }

    async fn read_body(
        &self,
        reader: &mut SocketReader<'_>,
        head: &RequestHead,
        deadline: MonoTime,
        max_bytes: usize,
    ) -> Result<BodyPermit, ReadEnd> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut permit = BodyPermit { hub: Rc::clone(&self.hub), bytes: Vec::new() };
        if matches!(head.framing, kwg_h1::BodyFraming::Length(length) if length > max_bytes as u64)
        {
            return Err(ReadEnd::Faulty(CallerFault::BodyTooLarge));
        }
        loop {
            let before = permit.bytes.len();
            let decoded = decoder.decode(reader.inbox(), &mut permit.bytes);
            self.hub.body_bytes.set(self.hub.body_bytes.get() + permit.bytes.len() - before);
            let used = decoded.map_err(|_| ReadEnd::Faulty(CallerFault::Malformed))?;
            reader.consume(used);
            if permit.bytes.len() > max_bytes {
                return Err(ReadEnd::Faulty(CallerFault::BodyTooLarge));
            }
            if self.hub.body_bytes.get() > self.hub.max_body_bytes {
                return Err(ReadEnd::Faulty(CallerFault::NoRoom));
            }
            if decoder.is_done() {
                return Ok(permit);
            }
            let late = async {
                self.hub.clock.sleep_until(deadline).await;
                Err(ReadEnd::Faulty(CallerFault::TooSlow))
            };
            let fill = async { reader.fill().await.map_err(|_| ReadEnd::Closed) };
            if fill.or(late).await? == 0 {
                return Err(ReadEnd::Closed);
            }
        }
    }
}

async fn read_head(
    reader: &mut SocketReader<'_>,
    max_bytes: usize,
) -> Result<RequestHead, ReadEnd> {
    loop {
        match RequestHead::parse(reader.inbox(), max_bytes) {
            Ok(Some((head, used))) => {
                reader.consume(used);
                return Ok(head);
            }
            Ok(None) => match reader.fill().await {
                Ok(count) if count > 0 => {}
                _ => return Err(ReadEnd::Closed),
            },
            Err(error) => return Err(ReadEnd::Faulty(error.into())),
        }
    }
}
