use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use kwg_clock::ClockHandle;
use kwg_front::FrontHeaders;
use kwg_http::{BodyReader, CallClient};
use kwg_wire::{SseKind, SseParser};

use super::{CallPlan, CallReport, CallResult};
use crate::ReferenceAnswer;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the caller waits for further bytes before it tries another router.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two sends of the same request.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of sends of one request; a failed attempt to take its ticket counts as one.
const MAX_SENDS: u32 = 40;
/// Longest body of a response other than 200, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;

/// Sends requests with an account's key to a list of routers, in turn.
#[derive(Debug)]
pub struct CallerAgent {
    routers: Vec<SocketAddr>,
    key: String,
    clock: ClockHandle,
    next_router: Cell<usize>,
}

/// State of a request that is kept between two sends.
struct CallState {
    ticket: Option<String>,
    token: Option<String>,
    text: Vec<u8>,
    first_byte: Option<Duration>,
    started: Instant,
}

/// Outcome of one send of a request.
enum SendOutcome {
    Final(CallResult),
    Retry,
}

impl CallerAgent {
    /// A caller that sends to `routers` in turn. Calls panic if there are none.
    #[must_use]
    pub fn new(routers: Vec<SocketAddr>, key: impl Into<String>) -> Self {
        let (key, clock) = (key.into(), ClockHandle::system());
        Self { routers, key, clock, next_router: Cell::new(0) }
    }

    /// Makes a request, and resends or resumes it until its result is final. Resending is safe
    /// under a ticket only; with `with_ticket` the caller takes one first.
    pub async fn call(&self, plan: &CallPlan, with_ticket: bool) -> CallReport {
        let started = Instant::now();
        let mut state =
            CallState { ticket: None, token: None, text: Vec::new(), first_byte: None, started };
        let mut sends = 0;
        let mut result = CallResult::Rejected("no send led to a final result".to_owned());
        while sends < MAX_SENDS {
            if sends > 0 {
                Timer::after(RESEND_PAUSE).await;
            }
            sends += 1;
            if with_ticket && state.ticket.is_none() {
                state.ticket = self.take_ticket(plan.non_idempotent).await;
                if state.ticket.is_none() {
                    continue;
                }
            }
            match self.send(plan, &mut state).await {
                SendOutcome::Final(final_result) => {
                    result = final_result;
                    break;
                }
                // Without a ticket a second send could run the request twice.
                SendOutcome::Retry if state.ticket.is_none() => {
                    result = CallResult::Unknown(
                        "no final result; not resent for lack of a ticket".to_owned(),
                    );
                    break;
                }
                SendOutcome::Retry => {}
            }
        }
        CallReport {
            ticket: state.ticket,
            is_engine: plan.is_engine,
            result,
            resends: sends.saturating_sub(1),
            first_byte: state.first_byte,
            total: started.elapsed(),
        }
    }

    /// Takes one ticket from the next router; `None` if it gives none.
    pub async fn take_ticket(&self, non_idempotent: bool) -> Option<String> {
        let client = self.client();
        let path = format!("/v1/tickets?count=1&non-idempotent={non_idempotent}");
        let mut request = client.request(Method::Post, path).ok()?;
        self.authorize(&mut request);
        let reply = client.call(request).await.ok()?;
        let page: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
        Some(page.get("tickets")?.get(0)?.as_str()?.to_owned())
    }

    async fn send(&self, plan: &CallPlan, state: &mut CallState) -> SendOutcome {
        let client = self.client();
        let Some(request) = self.request(&client, plan, state) else {
            return SendOutcome::Final(CallResult::Rejected(
                "the route does not form a valid path".to_owned(),
            ));
        };
        let Ok(stream) = client.connect().await else { return SendOutcome::Retry };
        let idle = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let response = async { client.open(stream, request).await.ok() }.or(idle).await;
        let Some(mut response) = response else { return SendOutcome::Retry };
        let header = |name: &str| response.header(name).map(|value| value.as_str().to_owned());
        state.ticket = header(FrontHeaders::TICKET).or(state.ticket.take());
        state.token = header(FrontHeaders::RESUME).or(state.token.take());
        if response.status() == StatusCode::Ok {
            return self.read_answer(plan, state, response).await;
        }
        let (outcome, reason) = (header(FrontHeaders::OUTCOME), header(FrontHeaders::REASON));
        let reason = reason.unwrap_or_default();
        drop(BodyReader::read(response.take_body(), MAX_ERROR_BODY_BYTES).await);
        match outcome.as_deref() {
            Some("not-run") => SendOutcome::Final(CallResult::NotRun(reason)),
            Some("unknown") => SendOutcome::Final(CallResult::Unknown(reason)),
            Some(_) if matches!(reason.as_str(), "not-ready" | "stopping" | "shutting-down") => {
                SendOutcome::Retry
            }
            _ => SendOutcome::Final(CallResult::Rejected(reason)),
        }
    }

    fn request(&self, client: &CallClient, plan: &CallPlan, state: &CallState) -> Option<Request> {
        let path = format!("/v1/requests/{}", plan.route);
        let mut request = client.request(Method::Post, path).ok()?;
        self.authorize(&mut request);
        request.insert_header(FrontHeaders::MAX_TOKENS, plan.max_tokens.to_string());
        if plan.non_idempotent {
            request.insert_header(FrontHeaders::NON_IDEMPOTENT, "true");
        }
        if let Some(deadline) = plan.deadline_ms {
            request.insert_header(FrontHeaders::DEADLINE_MS, deadline.to_string());
        }
        if let Some(ticket) = &state.ticket {
            request.insert_header(FrontHeaders::TICKET, ticket.as_str());
        }
        if let Some(token) = &state.token {
            request.insert_header(FrontHeaders::RESUME, token.as_str());
            request.insert_header(FrontHeaders::LAST_EVENT_ID, state.text.len().to_string());
        }
        request.set_body(plan.body.as_slice());
        Some(request)
    }

    /// Reads an answer up to its end event. A connection that closes earlier counts as broken.
    async fn read_answer(
        &self,
        plan: &CallPlan,
        state: &mut CallState,
        mut response: Response,
    ) -> SendOutcome {
        let mut body = response.take_body().into_reader();
        let mut parser = SseParser::default();
        let mut buffer = vec![0; 8 << 10];
        loop {
            let idle = async {
                Timer::after(IDLE_TIMEOUT).await;
                Ok(0)
            };
            let count = match body.read(&mut buffer).or(idle).await {
                Ok(count) if count > 0 => count,
                _ => return SendOutcome::Retry,
            };
            parser.push(&buffer[..count]);
            loop {
                let event = match parser.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return SendOutcome::Final(CallResult::Wrong),
                };
                match event.kind {
                    SseKind::Part(chunk) => {
                        state.first_byte.get_or_insert(state.started.elapsed());
                        if event.offset - chunk.len() as u64 != state.text.len() as u64 {
                            return SendOutcome::Final(CallResult::Wrong);
                        }
                        state.text.extend_from_slice(&chunk);
                    }
                    SseKind::End => {
                        return SendOutcome::Final(check_answer(plan, &state.text, event.offset));
                    }
                    SseKind::Failed(reason) if reason.starts_with("not-run") => {
                        return SendOutcome::Final(CallResult::NotRun(reason));
                    }
                    SseKind::Failed(reason) => {
                        return SendOutcome::Final(CallResult::Unknown(reason));
                    }
                }
            }
        }
    }

    fn client(&self) -> CallClient {
        let next = self.next_router.get();
        self.next_router.set(next + 1);
        let router = self.routers[next % self.routers.len()];
        CallClient::new(router, CONNECT_TIMEOUT, self.clock.clone())
    }

    fn authorize(&self, request: &mut Request) {
        request.insert_header("authorization", format!("Bearer {}", self.key));
    }
}

/// Compares an answer with the reference answer; `length` is the length in its end event.
fn check_answer(plan: &CallPlan, text: &[u8], length: u64) -> CallResult {
    /// Length of a plain service's answer, as `ServiceStandin` gives it.
    const SERVICE_TOKENS: u32 = 2;
    let tokens = if plan.is_engine { plan.max_tokens } else { SERVICE_TOKENS };
    let expected = ReferenceAnswer::text(&plan.body, tokens);
    let is_right = length == text.len() as u64 && text == expected.as_bytes();
    if is_right { CallResult::Answered } else { CallResult::Wrong }
}
