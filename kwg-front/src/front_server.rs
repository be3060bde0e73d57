use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Server};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use http_types::{Method, Request, Response, StatusCode};
use kwg_clock::ClockHandle;
use kwg_flow::{AnswerEvent, CallerReply, TrafficInput};
use kwg_http::{BodyReader, SocketStream};
use kwg_model::{AccountGrant, AccountName, SealKey};
use kwg_telemetry::RouterMetrics;
use snafu::{OptionExt, ResultExt, ensure};

use crate::answer_body::AnswerBody;
use crate::deadline_stream::{DeadlineStream, ReadDeadline};
use crate::front_error::{
    AccountBusySnafu, BadBodySnafu, BadMethodSnafu, BadPathSnafu, NoSuchPathSnafu, NotReadySnafu,
    RejectedSnafu, StoppingSnafu,
};
use crate::reply_encoder::{encode_answer, encode_error, encode_failure, encode_tickets};
use crate::submission_decoder::{authenticate, decode};
use crate::{AccountMeter, CallerRegistry, CallerSession, FrontError, FrontLimits, RequestPermit};

/// Maximum number of tickets minted by one call.
const TICKETS_MAX: u16 = 1_000;
/// Pause after a failed accept, which usually means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Response on a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    kwg-outcome: rejected\r\nkwg-reason: too-many-connections\r\ncontent-length: 0\r\n\r\n";

/// Shared state and settings of one traffic thread's HTTP front end.
#[derive(Debug)]
pub struct FrontContext {
    /// The client accounts.
    pub accounts: Arc<[AccountGrant]>,
    /// The fleet's key that seals tickets and resume tokens.
    pub seal_key: SealKey,
    /// Size, count and time limits for callers of one traffic thread.
    pub limits: FrontLimits,
    /// The clock for all timeouts.
    pub clock: ClockHandle,
    /// The callers that wait for replies.
    pub callers: Rc<CallerRegistry>,
    /// Counts rejected requests.
    pub metrics: RouterMetrics,
    /// Whether this router accepts new requests.
    pub ready: Arc<AtomicBool>,
    /// Whether responses carry `connection: close`.
    pub close_connections: Arc<AtomicBool>,
}

/// Serves the callers of one traffic thread over HTTP.
#[derive(Debug)]
pub struct FrontServer {
    context: FrontContext,
    meter: AccountMeter,
    connections: Cell<usize>,
}

/// Counts a connection as open until dropped.
struct ConnectionGuard<'a>(&'a Cell<usize>);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl FrontServer {
    /// Creates a server without connections.
    #[must_use]
    pub fn new(context: FrontContext) -> Rc<Self> {
        let meter = AccountMeter::new(context.limits.account_requests);
        Rc::new(Self { context, meter, connections: Cell::new(0) })
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Accepts connections forever; each is served by a task on `executor`.
    pub async fn run(
        self: Rc<Self>,
        listener: Rc<Async<TcpListener>>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    executor.spawn(Rc::clone(&self).serve(stream)).detach();
                }
                Err(_) => self.context.clock.sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        self.connections.set(self.connections.get() + 1);
        let _guard = ConnectionGuard(&self.connections);
        let mut socket = SocketStream::accepted(stream);
        if self.connections.get() > self.context.limits.connections {
            self.context.metrics.record_rejected("too-many-connections");
            drop(socket.write_all(TOO_MANY_CONNECTIONS).await);
            return;
        }
        let stream = DeadlineStream::new(socket.clone(), self.context.clock.clone());
        let deadline = stream.deadline();
        let endpoint = |request| self.respond(request, &socket, &deadline);
        let mut server = Server::new(stream, endpoint);
        loop {
            deadline.set(self.context.clock.now() + self.context.limits.receive_timeout);
            match server.accept_one().await {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) | Err(_) => return,
            }
        }
    }

    async fn respond(
        &self,
        mut request: Request,
        socket: &SocketStream,
        deadline: &ReadDeadline,
    ) -> http_types::Result<Response> {
        let body = BodyReader::read(request.take_body(), self.context.limits.body_bytes).await;
        deadline.clear();
        let is_incomplete = body.is_err();
        let response = match body.context(BadBodySnafu) {
            Ok(body) => self.handle(&request, body, socket).await,
            Err(error) => Err(error),
        };
        let mut response = response.unwrap_or_else(|error| {
            self.context.metrics.record_rejected(error.reason());
            encode_error(&error)
        });
        if is_incomplete || self.context.close_connections.load(Ordering::Relaxed) {
            response.insert_header("connection", "close");
        }
        Ok(response)
    }

    async fn handle(
        &self,
        request: &Request,
        body: Vec<u8>,
        socket: &SocketStream,
    ) -> Result<Response, FrontError> {
        let path = request.url().path();
        if path == "/ready" {
            let ready = self.context.ready.load(Ordering::Relaxed);
            let status = if ready { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
            return Ok(Response::new(status));
        }
        let account = authenticate(request, &self.context.accounts)?;
        let close_connections = self.context.close_connections.load(Ordering::Relaxed);
        ensure!(close_connections || self.context.ready.load(Ordering::Relaxed), NotReadySnafu);
        match (request.method(), path.strip_prefix("/v1/requests/")) {
            (Method::Post | Method::Get, Some(route)) => {
                self.handle_request(request, route, account, body, socket).await
            }
            (Method::Post, None) if path == "/v1/tickets" => {
                self.handle_tickets(request, account, socket).await
            }
            (_, Some(_)) => BadMethodSnafu.fail(),
            _ if path == "/v1/tickets" => BadMethodSnafu.fail(),
            _ => NoSuchPathSnafu.fail(),
        }
    }

    async fn handle_tickets(
        &self,
        request: &Request,
        account: AccountName,
        socket: &SocketStream,
    ) -> Result<Response, FrontError> {
        let (mut count, mut non_idempotent) = (1, false);
        for (name, value) in request.url().query_pairs() {
            let bad = |reason: String| BadPathSnafu { what: "query", reason }.fail();
            match &*name {
                "count" => match value.parse().ok().filter(|n| (1..=TICKETS_MAX).contains(n)) {
                    Some(number) => count = number,
                    None => return bad(format!("count is a number from 1 to {TICKETS_MAX}")),
                },
                "non-idempotent" => non_idempotent = value != "false",
                _ => return bad(format!("unknown parameter '{name}'")),
            }
        }
        let session = self.context.callers.open(socket.clone());
        let input = TrafficInput::Mint {
            caller: session.key,
            account,
            count,
            other_domain: non_idempotent,
        };
        self.submit(input).await?;
        match session.replies.recv().await {
            Ok(CallerReply::Tickets(tickets)) => {
                Ok(encode_tickets(&tickets, &self.context.seal_key))
            }
            Ok(CallerReply::Rejected(source)) => Err(FrontError::Rejected { source }),
            Ok(_) | Err(_) => StoppingSnafu.fail(),
        }
    }

    async fn handle_request(
        &self,
        request: &Request,
        route: &str,
        account: AccountName,
        body: Vec<u8>,
        socket: &SocketStream,
    ) -> Result<Response, FrontError> {
        let limit = self.context.limits.account_requests;
        let permit = self.meter.acquire(&account).context(AccountBusySnafu { limit })?;
        let submission = decode(request, route, account, &self.context.seal_key, body)?;
        let offset = submission.offset;
        let session = self.context.callers.open(socket.clone());
        let submission = Box::new(submission);
        self.submit(TrafficInput::Submit { caller: session.key, submission }).await?;
        self.first_reply(session, offset, permit).await
    }

    /// Waits for the head of the answer, or for the rejection or failure that replaces it.
    async fn first_reply(
        &self,
        session: CallerSession,
        offset: u64,
        permit: RequestPermit,
    ) -> Result<Response, FrontError> {
        let key = &self.context.seal_key;
        let mut ticket = None;
        loop {
            match session.replies.recv().await {
                Ok(CallerReply::Ticketed(minted)) => ticket = Some(minted),
                Ok(CallerReply::Rejected(source)) => return Err(source).context(RejectedSnafu),
                Ok(CallerReply::Answer { event: AnswerEvent::Head(token), .. }) => {
                    let CallerSession { replies, guard, .. } = session;
                    let body = AnswerBody::new(replies, offset, guard, permit);
                    return Ok(encode_answer(ticket.as_ref(), &token, key, body));
                }
                Ok(CallerReply::Answer { event: AnswerEvent::Failed(outcome), .. }) => {
                    return Ok(encode_failure(outcome, ticket.as_ref(), key));
                }
                Ok(CallerReply::Answer { .. } | CallerReply::Tickets(_)) => {}
                Err(_) => return StoppingSnafu.fail(),
            }
        }
    }

    async fn submit(&self, input: TrafficInput) -> Result<(), FrontError> {
        let sent = self.context.callers.inputs().send(input).await;
        sent.ok().context(StoppingSnafu)
    }
}
