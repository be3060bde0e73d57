use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::{Body, Method, Request, Response, StatusCode};
use kwg_http::{SocketStream, StreamingBody};
use kwg_target::TargetHeaders;
use kwg_telemetry::{EventLine, EventRing};
use serde_json::json;

use super::EngineOptions;
use super::engine_state::EngineState;
use super::stream_body::StreamBody;
use crate::{HttpService, RequestHandler};

/// A request whose body contains these bytes crashes the engine.
const POISON: &[u8] = b"POISON";
/// Exit code of a crashed engine.
const CRASH_CODE: i32 = 86;
/// Tokens of an answer if the request has no maximum.
const DEFAULT_TOKENS: u32 = 16;

/// Stand-in for a model engine, served over HTTP.
#[derive(Debug)]
pub struct EngineStandin {
    state: RefCell<EngineState>,
    events: EventRing,
}

impl EngineStandin {
    /// Runs an engine until accepting a connection fails.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound or a connection cannot be accepted.
    pub async fn run(
        address: SocketAddr,
        options: EngineOptions,
        events: EventRing,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        let state = RefCell::new(EngineState::new(options));
        let engine = Rc::new(Self { state, events });
        let decoder = Rc::clone(&engine);
        let decode = async move {
            loop {
                let step = decoder.state.borrow_mut().step();
                Timer::after(step).await;
            }
        };
        executor.spawn(decode).detach();
        HttpService::serve(address, engine, executor).await
    }

    async fn start(&self, id: &str, mut request: Request) -> Option<Response> {
        let stamp = number_header(&request, TargetHeaders::STAMP);
        self.events.clock().observe(stamp.unwrap_or(0));
        let body = request.body_bytes().await.ok()?;
        self.events.record(EventLine::new("engine-dispatch").field("ticket", id));
        if body.windows(POISON.len()).any(|window| window == POISON) {
            self.events.record(EventLine::new("engine-crash").field("ticket", id));
            std::process::exit(CRASH_CODE);
        }
        let version = request.header(TargetHeaders::VERSION).map(|value| value.as_str());
        if self.fails(version.unwrap_or_default()) {
            return Some(Response::new(StatusCode::InternalServerError));
        }
        let tokens = number_header(&request, TargetHeaders::MAX_TOKENS);
        let tokens = tokens.and_then(|tokens| u32::try_from(tokens).ok());
        let tokens = tokens.unwrap_or(DEFAULT_TOKENS);
        let (handle, cached) = self.state.borrow_mut().start(id, body, tokens);
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("kwg-cached-tokens", cached.to_string());
        response.insert_header(TargetHeaders::STAMP, self.events.clock().stamp().to_string());
        response.set_body(Body::from_reader(StreamingBody::new(StreamBody::new(handle, 0)), None));
        Some(response)
    }

    /// Whether a request for this version fails. One for a version that is not loaded always does.
    fn fails(&self, version: &str) -> bool {
        let state = self.state.borrow();
        let (failing, percent) = &state.failing_version;
        let is_loaded = version.is_empty() || state.versions.contains(version);
        !is_loaded || (failing == version && rand::random_range(0..100) < *percent)
    }

    fn resume(&self, id: &str, request: &Request) -> Response {
        let state = self.state.borrow();
        let Some(handle) = state.streams.get(id) else {
            return Response::new(StatusCode::NotFound);
        };
        let from = request.url().query_pairs().find(|(name, _)| name == "from");
        let from = from.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        let mut response = Response::new(StatusCode::Ok);
        let body = StreamingBody::new(StreamBody::new(handle.clone(), from));
        response.set_body(Body::from_reader(body, None));
        response
    }

    fn cancel(&self, id: &str) -> Response {
        let state = self.state.borrow();
        let Some(handle) = state.streams.get(id) else {
            return Response::new(StatusCode::NotFound);
        };
        handle.lock().cancel();
        Response::new(StatusCode::Ok)
    }

    /// Executes an order: loads `version`. If the engine checks fencing numbers, it refuses an
    /// order whose `fence` is below the highest seen.
    fn order(&self, request: &Request) -> Response {
        let mut state = self.state.borrow_mut();
        let (mut fence, mut version) = (0, None);
        for (name, value) in request.url().query_pairs() {
            match &*name {
                "fence" => fence = value.parse().unwrap_or(0),
                "version" => version = Some(value.into_owned()),
                _ => return Response::new(StatusCode::BadRequest),
            }
        }
        if state.options.heeds_fencing && fence < state.fence {
            return Response::new(StatusCode::Conflict);
        }
        state.fence = state.fence.max(fence);
        state.versions.extend(version);
        Response::new(StatusCode::Ok)
    }

    /// Sets the faults that the query names: `slowdown=N`, or `bad_version=V` with
    /// `fail_percent=N`. An invalid number clears the fault.
    fn fault(&self, request: &Request) -> Response {
        let mut state = self.state.borrow_mut();
        for (name, value) in request.url().query_pairs() {
            match &*name {
                "slowdown" => state.slowdown = value.parse().unwrap_or(1),
                "bad_version" => state.failing_version.0 = value.into_owned(),
                "fail_percent" => state.failing_version.1 = value.parse().unwrap_or(0),
                _ => return Response::new(StatusCode::BadRequest),
            }
        }
        Response::new(StatusCode::Ok)
    }

    fn stats(&self) -> Response {
        let state = self.state.borrow();
        json_response(&json!({
            "dispatched": state.dispatches.len(),
            "dispatched_twice": state.dispatched_twice(),
            "tickets": state.dispatches.keys().collect::<Vec<_>>(),
            "versions": state.versions,
        }))
    }
}

impl RequestHandler for EngineStandin {
    async fn handle(self: Rc<Self>, request: Request, _socket: SocketStream) -> Option<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.strip_prefix("/v1/streams/")) {
            (Method::Post, Some(id)) => self.start(id, request).await,
            (Method::Get, Some(id)) => Some(self.resume(id, &request)),
            (Method::Delete, Some(id)) => Some(self.cancel(id)),
            (Method::Get, None) if path == "/v1/load" => {
                Some(json_response(&self.state.borrow().report()))
            }
            (Method::Get, None) if path == "/v1/versions" => {
                Some(json_response(&self.state.borrow().versions))
            }
            (Method::Post, None) if path == "/v1/orders" => Some(self.order(&request)),
            (Method::Post, None) if path == "/fault" => Some(self.fault(&request)),
            (Method::Get, None) if path == "/stats" => Some(self.stats()),
            _ => Some(Response::new(StatusCode::NotFound)),
        }
    }
}

/// The value of a numeric header, if it is there and valid.
fn number_header(request: &Request, name: &str) -> Option<u64> {
    request.header(name).and_then(|value| value.as_str().parse().ok())
}

/// A 200 response with `value` as its JSON body.
pub(crate) fn json_response(value: &impl serde::Serialize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value).expect("text and numbers always encode"));
    response
}
