use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::FutureExt;
use futures_lite::future::poll_once;
use kwg_adapter::{CallerCodec, CallerFault};
use kwg_gate::{CallerGuard, CallerPhase, FinalOutcome};

use super::answer_relay::AnswerRelay;
use super::front_reader::{FrontReader, IncomingRequest, ReadError};
use super::request_pipeline::{PipelineEnd, RequestPipeline};
use super::traffic_state::TrafficState;
use crate::socket::{ByteSocket, KERNEL_BYTES, PacedWriter};

/// Maximum number of bytes buffered from a caller while its request is being answered.
const READ_AHEAD: usize = 4 << 10;

/// A caller's connection, which serves requests in sequence.
#[derive(Debug)]
pub(crate) struct FrontConnection {
    state: Rc<TrafficState>,
    caller: CallerGuard,
}

impl FrontConnection {
    /// Creates a connection, which counts as open from here on.
    pub(crate) fn new(state: &Rc<TrafficState>, caller: CallerGuard) -> Self {
        Self { state: Rc::clone(state), caller }
    }

    /// Serves requests until either side closes the connection.
    pub(crate) async fn serve(self, stream: Async<TcpStream>) {
        let mut socket = ByteSocket::accepted(stream);
        while self.serve_one(&mut socket).await {
            let now = self.state.clock.now();
            self.caller.set_phase(CallerPhase::Idle, now);
            self.caller.hold(socket.split().0.buffer_bytes(), now);
        }
        drop(socket);
        drop(self.caller);
    }

    /// Serves one request; returns whether another may follow.
    async fn serve_one(&self, socket: &mut ByteSocket) -> bool {
        let (mut reader, writer) = socket.split();
        let writer = PacedWriter::new(writer, &self.caller, &self.state.clock);
        let (state, caller) = (&self.state, &self.caller);
        let mut incoming = FrontReader { state, caller, reader: &mut reader, writer };
        let IncomingRequest { head, details, body, refusal } = match incoming.read_request().await {
            Ok(incoming) => incoming,
            Err(error) => {
                self.refuse(error, writer).await;
                return false;
            }
        };
        let has_next = Cell::new(!reader.inbox().is_empty());
        let is_stopping = &self.state.is_stopping;
        let mut relay = AnswerRelay::new(writer, head.keeps_alive, is_stopping, &has_next);
        let stopping = self.state.is_front_closed.get().then(FinalOutcome::stopping);
        if let Some(outcome) = stopping.or(refusal) {
            self.state.metrics.record_refusal(outcome.as_str());
            log::info!("event=request-ended id={} outcome={}", details.id, outcome.as_str());
            if relay.send_outcome(outcome, &details.id).await.is_err() {
                log::debug!("event=caller-lost id={}", details.id);
                return false;
            }
            return relay.keeps_alive();
        }
        let pipeline = RequestPipeline { state: &self.state, head: &head, body: &body };
        let id = details.id.clone();
        let unread = Cell::new(None);
        let disconnect = async {
            let on_bytes = |length| {
                has_next.set(true);
                if length >= READ_AHEAD {
                    // The rest of what it sends ahead fills the kernel's buffer.
                    unread.set(Some(caller.hold_kernel(KERNEL_BYTES, state.clock.now())));
                }
            };
            reader.wait_closed(READ_AHEAD, on_bytes).await;
            log::info!("event=request-ended id={id} outcome=caller-left");
            self.state.metrics.record_refusal("caller-left");
            PipelineEnd::Broken
        };
        // On the heap only while a request runs: connections that wait for one are many more.
        let run = Box::pin(pipeline.run(details, &mut relay));
        let end = run.or(disconnect).await;
        end == PipelineEnd::Complete && relay.keeps_alive()
    }

    /// Answers a request that was not read, as far as its caller has sent a part of it.
    async fn refuse(&self, error: ReadError, writer: PacedWriter<'_>) {
        let now = self.state.clock.now();
        match error {
            ReadError::Rejected(fault) => {
                self.state.front_log.record("request-refused", name(fault), now);
                self.state.metrics.record_caller_end(name(fault));
                let reply = CallerCodec::encode_fault(fault);
                writer.begin_reply();
                if let Err(error) = writer.write(&reply).await {
                    log::debug!("event=caller-lost error={error}");
                }
            }
            ReadError::Shed(reason) => {
                self.state.front_log.record("connection-closed", reason, now);
                self.state.metrics.record_caller_end(reason);
                if matches!(reason, "partial-head" | "partial-body") {
                    // Not a byte of it has been sent to a target. The room is needed now, so that the
                    // reply is sent only as far as the kernel takes it at once.
                    let reply = CallerCodec::encode_fault(CallerFault::NoRoom);
                    if poll_once(writer.write(&reply)).await.is_none() {
                        log::debug!("event=caller-lost");
                    }
                }
            }
            ReadError::Closed => {}
        }
    }
}

/// The fault's name in logs and metrics.
fn name(fault: CallerFault) -> &'static str {
    match fault {
        CallerFault::Malformed => "malformed",
        CallerFault::HeadTooLarge => "head-too-large",
        CallerFault::BodyTooLarge => "body-too-large",
        CallerFault::TooSlow => "too-slow",
        CallerFault::NoRoom => "no-room",
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front_connection.rs"]
mod tests;
