use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_adapter::{CallerCodec, CallerFault};
use kwg_gate::{CallerGuard, CallerPhase, FinalOutcome, RefusalReason, RequestDetails, RouteMatch};
use kwg_h1::{BodyFraming, RequestHead};
use kwg_model::MonoTime;

use super::front_body::RequestBody;
use super::front_head::HeadScanner;
use super::traffic_state::TrafficState;
use crate::socket::{PacedWriter, SocketReader};

/// How long a connection stays open for a request after it was accepted or its last answer ended,
/// also when idle connections are closed: its caller may be sending already.
const LAST_REQUEST_WAIT: Duration = Duration::from_secs(1);
/// Bytes that the parsed head and the details of a request take, as a multiple of the head's length: the
/// fields, what is copied of them, and the allocator's share of the many small texts.
const HEAD_COPIES: usize = 4;
/// Bytes that a running request takes beside its head and its body: its task (6 kB), what is read ahead (4 kB)
/// and a part of the reply.
const RUNNING_BYTES: usize = 16 << 10;

/// Reads one request of a caller's connection.
#[derive(Debug)]
pub(crate) struct FrontReader<'a, 's> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) caller: &'a CallerGuard,
    pub(crate) reader: &'a mut SocketReader<'s>,
    pub(crate) writer: PacedWriter<'a>,
}

/// A complete request.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) head: RequestHead,
    pub(crate) details: RequestDetails,
    pub(crate) body: Vec<u8>,
    /// The outcome that the head has already decided; the body is empty then.
    pub(crate) refusal: Option<FinalOutcome>,
}

/// Why no request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The request is malformed or exceeds a size or time limit; the caller gets an error reply.
    Rejected(CallerFault),
    /// The connection was closed or idle for too long, or the instance is stopping.
    Closed,
    /// The connection is closed to make room for others.
    Shed(&'static str),
}

impl From<CallerFault> for ReadError {
    fn from(fault: CallerFault) -> Self {
        Self::Rejected(fault)
    }
}

impl FrontReader<'_, '_> {
    /// Reads a request, within the idle timeout for its first byte, the head timeout for its head,
    /// and the request's deadline and the minimum progress for its body.
    pub(crate) async fn read_request(&mut self) -> Result<IncomingRequest, ReadError> {
        let caller = self.caller;
        let shed = async { Err(ReadError::Shed(caller.wait_closing().await)) };
        let incoming = self.read_parts().or(shed).await?;
        // The body is held a second time as a part of the request to the target.
        let body_bytes = 2 * incoming.body.len();
        let bytes = self.head_bytes(&incoming.head) + body_bytes + RUNNING_BYTES;
        let now = self.state.clock.now();
        if !self.caller.hold(bytes + self.reader.buffer_bytes(), now)
            || !self.caller.set_phase(CallerPhase::Running, now)
        {
            return Err(ReadError::Rejected(CallerFault::NoRoom));
        }
        Ok(incoming)
    }

    async fn read_parts(&mut self) -> Result<IncomingRequest, ReadError> {
        self.wait_first().await?;
        // The configuration may have changed while the connection was idle.
        let limits = self.state.limits();
        let arrived = self.state.clock.now();
        self.caller.set_phase(CallerPhase::Head, arrived);
        let state = Rc::clone(self.state);
        let slow = async {
            state.clock.sleep_until(arrived + limits.head_timeout).await;
            Err(ReadError::Rejected(CallerFault::TooSlow))
        };
        let head = self.read_head(limits.head_bytes).or(slow).await?;
        let details = CallerCodec::decode(&head, arrived)?;
        let refusal = self.refusal(&details);
        let mut body = RequestBody::begin(head.framing, limits.body_bytes, refusal.is_none())?;
        if head.headers.has_token("expect", "100-continue") {
            if refusal.is_some() {
                // The caller waits with the body, and may not send it after the answer.
                let head = RequestHead { keeps_alive: false, ..head };
                return Ok(IncomingRequest { head, details, body: Vec::new(), refusal });
            }
            let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.writer.write(go_on).await.map_err(|_| ReadError::Closed)?;
        }
        self.read_body(&head, &mut body, details.deadline).await?;
        Ok(IncomingRequest { head, details, body: body.into_bytes(), refusal })
    }

    /// Waits for the first byte of a request.
    async fn wait_first(&mut self) -> Result<(), ReadError> {
        let (state, reader) = (self.state, &mut *self.reader);
        let idle = async {
            wait_idle_limit(state).await;
            false
        };
        let start = state.clock.now();
        let stopped = async {
            state.wait_close_idle().await;
            state.clock.sleep_until(start + LAST_REQUEST_WAIT).await;
            false
        };
        let first = async {
            !reader.inbox().is_empty() || matches!(reader.fill().await, Ok(count) if count > 0)
        };
        match first.or(idle).or(stopped).await {
            true => Ok(()),
            false => Err(ReadError::Closed),
        }
    }

    async fn read_head(&mut self, max_bytes: usize) -> Result<RequestHead, ReadError> {
        let mut scanner = HeadScanner::default();
        loop {
            if let Some((head, used)) = scanner.find(self.reader.inbox(), max_bytes)? {
                self.reader.consume(used);
                return Ok(head);
            }
            self.fill(0).await?;
        }
    }

    /// Reads a body until the request's deadline, within the limits of one body and of all callers.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        body: &mut RequestBody,
        deadline: MonoTime,
    ) -> Result<(), ReadError> {
        let state = Rc::clone(self.state);
        let head_bytes = self.head_bytes(head);
        if head.framing != BodyFraming::Length(0) {
            self.caller.set_phase(CallerPhase::Body, state.clock.now());
        }
        loop {
            let used = body.decode(self.reader.inbox())?;
            self.reader.consume(used);
            if body.is_done() {
                return Ok(());
            }
            self.hold(head_bytes + body.buffer_bytes())?;
            let due = self.caller.floor_due().min(deadline);
            let late = async {
                state.clock.sleep_until(due).await;
                Err(ReadError::Rejected(CallerFault::TooSlow))
            };
            self.fill(head_bytes + body.buffer_bytes()).or(late).await?;
        }
    }

    /// Reads more bytes. `held` is the number of bytes that are held beside those that are read.
    async fn fill(&mut self, held: usize) -> Result<(), ReadError> {
        match self.reader.fill().await {
            Ok(count) if count > 0 => {
                self.caller.record_progress(count, self.state.clock.now());
                self.hold(held)
            }
            _ => Err(ReadError::Closed),
        }
    }

    fn hold(&self, held: usize) -> Result<(), ReadError> {
        match self.caller.hold(held + self.reader.buffer_bytes(), self.state.clock.now()) {
            true => Ok(()),
            false => Err(ReadError::Rejected(CallerFault::NoRoom)),
        }
    }

    /// The refusal of a request that no route serves or whose key is unknown: its body need not be kept.
    fn refusal(&self, details: &RequestDetails) -> Option<FinalOutcome> {
        let core = self.state.core.borrow();
        match core.table()?.find(&details.host, &details.path, details.key.as_deref()) {
            RouteMatch::Served { .. } => None,
            RouteMatch::NoRoute => Some(FinalOutcome::refused(RefusalReason::NoRoute)),
            RouteMatch::UnknownKey => Some(FinalOutcome::refused(RefusalReason::UnknownKey)),
        }
    }

    /// Bytes that a parsed head takes.
    fn head_bytes(&self, head: &RequestHead) -> usize {
        let fields = head.headers.iter().map(|(name, value)| name.len() + value.len() + 16);
        HEAD_COPIES * (head.target.len() + fields.sum::<usize>())
    }
}

/// Waits until a connection has been idle for the limit in force. Raising the limit extends the wait, since
/// callers then reuse connections that have been idle for longer.
async fn wait_idle_limit(state: &TrafficState) {
    let clock = &state.clock;
    let start = clock.now();
    loop {
        let end = start + state.limits().idle_timeout;
        if clock.now() >= end {
            return;
        }
        clock.sleep_until(end).await;
    }
}
