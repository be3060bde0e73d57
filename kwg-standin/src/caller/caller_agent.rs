use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, StatusCode};
use kwg_clock::ClockHandle;
use kwg_front::FrontHeaders;
use kwg_http::{CallClient, WholeBody};
use kwg_wire::{SseKind, SseParser};

use super::{CallPlan, CallReport, CallResult};
use crate::ReferenceAnswer;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the caller waits for anything new before it looks elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Waiting time between sends of the same request.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// How often a request is sent at most.
const SENDS_MAX: u32 = 40;
/// Longest page that is no answer, in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// A caller with its account's key and the routers that it knows.
#[derive(Debug)]
pub struct CallerAgent {
    routers: Vec<SocketAddr>,
    key: String,
    clock: ClockHandle,
    next_router: Cell<usize>,
}

/// One request under way.
struct CallState {
    ticket: Option<String>,
    token: Option<String>,
    text: Vec<u8>,
    first_byte: Option<Duration>,
    started: Instant,
}

/// How one send of a request ended.
enum SendEnd {
    Done(CallResult),
    Again,
}

impl CallerAgent {
    /// A caller that spreads its requests over these routers.
    #[must_use]
    pub fn new(routers: Vec<SocketAddr>, key: impl Into<String>) -> Self {
        let (key, clock) = (key.into(), ClockHandle::system());
        Self { routers, key, clock, next_router: Cell::new(0) }
    }

    /// Makes a request, and sends or resumes it again until its end is known. A caller with a
    /// ticket does so safely; `with_ticket` takes one first.
    pub async fn call(&self, plan: &CallPlan, with_ticket: bool) -> CallReport {
        let started = Instant::now();
        let mut state =
            CallState { ticket: None, token: None, text: Vec::new(), first_byte: None, started };
        let mut sends = 0;
        let mut result = CallResult::Rejected("no router answered".to_owned());
        while sends < SENDS_MAX {
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
                SendEnd::Done(end) => {
                    result = end;
                    break;
                }
                // Without a ticket nothing can be sent again safely.
                SendEnd::Again if state.ticket.is_none() => {
                    result = CallResult::Unknown("cut without a ticket".to_owned());
                    break;
                }
                SendEnd::Again => {}
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

    /// Takes one ticket from the next router.
    pub async fn take_ticket(&self, non_idempotent: bool) -> Option<String> {
        let client = self.client();
        let path = format!("/v1/tickets?count=1&non-idempotent={non_idempotent}");
        let mut request = client.request(Method::Post, path).ok()?;
        self.authorize(&mut request);
        let reply = client.call(request).await.ok()?;
        let page: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
        Some(page.get("tickets")?.get(0)?.as_str()?.to_owned())
    }

    async fn send(&self, plan: &CallPlan, state: &mut CallState) -> SendEnd {
        let client = self.client();
        let Some(request) = self.request(&client, plan, state) else {
            return SendEnd::Done(CallResult::Rejected("bad request".to_owned()));
        };
        let Ok(stream) = client.connect().await else { return SendEnd::Again };
        let silence = async {
            Timer::after(SILENCE_TIMEOUT).await;
            None
        };
        let response = async { client.open(stream, request).await.ok() }.or(silence).await;
        let Some(mut response) = response else { return SendEnd::Again };
        let header = |name: &str| response.header(name).map(|value| value.as_str().to_owned());
        state.ticket = header(FrontHeaders::TICKET).or(state.ticket.take());
        state.token = header(FrontHeaders::RESUME).or(state.token.take());
        if response.status() == StatusCode::Ok {
            return self.read_answer(plan, state, response).await;
        }
        let (outcome, reason) = (header(FrontHeaders::OUTCOME), header(FrontHeaders::REASON));
        let reason = reason.unwrap_or_default();
        drop(WholeBody::read(response.take_body(), PAGE_BYTES).await);
        match outcome.as_deref() {
            Some("not-run") => SendEnd::Done(CallResult::NotRun(reason)),
            Some("unknown") => SendEnd::Done(CallResult::Unknown(reason)),
            Some(_) if matches!(reason.as_str(), "not-ready" | "stopping" | "shutting-down") => {
                SendEnd::Again
            }
            _ => SendEnd::Done(CallResult::Rejected(reason)),
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

    /// Reads an answer to its end event; a connection that just ends is a cut.
    async fn read_answer(
        &self,
        plan: &CallPlan,
        state: &mut CallState,
        mut response: Response,
    ) -> SendEnd {
        let mut body = response.take_body().into_reader();
        let mut parser = SseParser::default();
        let mut buffer = vec![0; 8 << 10];
        loop {
            let silence = async {
                Timer::after(SILENCE_TIMEOUT).await;
                Ok(0)
            };
            let count = match body.read(&mut buffer).or(silence).await {
                Ok(count) if count > 0 => count,
                _ => return SendEnd::Again,
            };
            parser.push(&buffer[..count]);
            loop {
                let event = match parser.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => return SendEnd::Done(CallResult::Wrong),
                };
                match event.kind {
                    SseKind::Part(chunk) => {
                        state.first_byte.get_or_insert(state.started.elapsed());
                        if event.offset - chunk.len() as u64 != state.text.len() as u64 {
                            return SendEnd::Done(CallResult::Wrong);
                        }
                        state.text.extend_from_slice(&chunk);
                    }
                    SseKind::End => return SendEnd::Done(check(plan, &state.text, event.offset)),
                    SseKind::Failed(reason) if reason.starts_with("not-run") => {
                        return SendEnd::Done(CallResult::NotRun(reason));
                    }
                    SseKind::Failed(reason) => return SendEnd::Done(CallResult::Unknown(reason)),
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

fn check(plan: &CallPlan, text: &[u8], length: u64) -> CallResult {
    const SERVICE_TOKENS: u32 = 2;
    let tokens = if plan.is_engine { plan.max_tokens } else { SERVICE_TOKENS };
    let expected = ReferenceAnswer::text(&plan.body, tokens);
    let is_right = length == text.len() as u64 && text == expected.as_bytes();
    if is_right { CallResult::Answered } else { CallResult::Wrong }
}
