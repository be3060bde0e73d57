use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::{Method, Request, Response, StatusCode};
use kwg_http::SocketStream;
use kwg_target::TargetHeaders;
use kwg_telemetry::{EventLine, EventRing};
use serde_json::json;

use crate::engine::json_response;
use crate::{HttpService, ReferenceAnswer, RequestHandler};

/// Length of a response, in tokens of the reference answer.
const REPLY_TOKENS: u32 = 2;

/// Stand-in for a plain service with non-idempotent calls: it counts the calls of each ticket.
#[derive(Debug)]
pub struct ServiceStandin {
    delay: Duration,
    calls: RefCell<BTreeMap<String, u32>>,
    events: EventRing,
}

impl ServiceStandin {
    /// Runs a service until accepting a connection fails; each call takes `delay`.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound or a connection cannot be accepted.
    pub async fn run(
        address: SocketAddr,
        delay: Duration,
        events: EventRing,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        let service = Rc::new(Self { delay, calls: RefCell::default(), events });
        HttpService::serve(address, service, executor).await
    }

    async fn call(&self, mut request: Request) -> Option<Response> {
        let ticket = request.header(TargetHeaders::TICKET)?.as_str().to_owned();
        let stamp = request.header(TargetHeaders::STAMP);
        let stamp = stamp.and_then(|stamp| stamp.as_str().parse().ok());
        self.events.clock().observe(stamp.unwrap_or(0));
        let body = request.body_bytes().await.ok()?;
        self.events.record(EventLine::new("service-call").field("ticket", &ticket));
        *self.calls.borrow_mut().entry(ticket).or_default() += 1;
        Timer::after(self.delay).await;
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(ReferenceAnswer::text(&body, REPLY_TOKENS));
        Some(response)
    }

    fn stats(&self) -> Response {
        let calls = self.calls.borrow();
        json_response(&json!({
            "dispatched": calls.len(),
            "dispatched_twice": calls.values().filter(|count| **count > 1).count(),
            "tickets": calls.keys().collect::<Vec<_>>(),
        }))
    }
}

impl RequestHandler for ServiceStandin {
    async fn handle(self: Rc<Self>, request: Request, _socket: SocketStream) -> Option<Response> {
        match (request.method(), request.url().path()) {
            (Method::Post, "/v1/call") => self.call(request).await,
            (Method::Get, "/stats") => Some(self.stats()),
            _ => Some(Response::new(StatusCode::NotFound)),
        }
    }
}
