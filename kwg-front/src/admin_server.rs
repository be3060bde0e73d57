use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use http_types::{Method, Request, Response, StatusCode};
use kwg_clock::ClockHandle;
use kwg_http::SocketStream;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Source of the pages that a router serves to operators.
pub trait AdminPages: 'static {
    /// Returns whether the router accepts new requests.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns the router's status as JSON.
    fn status(&self) -> String;
}

/// Serves `/ready`, `/metrics` and `/status` to operators, on a port separate from the callers'.
#[derive(Debug)]
pub struct AdminServer<P> {
    pages: P,
    clock: ClockHandle,
}

impl<P: AdminPages> AdminServer<P> {
    /// Creates a server for `pages`.
    #[must_use]
    pub fn new(pages: P, clock: ClockHandle) -> Rc<Self> {
        Rc::new(Self { pages, clock })
    }

    /// Accepts connections forever; each is served by a task on `executor`.
    pub async fn run(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = Rc::clone(&self);
                    let stream = SocketStream::accepted(stream);
                    let serve = async move {
                        let endpoint = async |request| Ok(server.respond(&request));
                        drop(async_h1::accept(stream, endpoint).await);
                    };
                    executor.spawn(serve).detach();
                }
                Err(_) => self.clock.sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn respond(&self, request: &Request) -> Response {
        if request.method() != Method::Get {
            return Response::new(StatusCode::MethodNotAllowed);
        }
        let (content_type, text) = match request.url().path() {
            "/metrics" => ("application/openmetrics-text; version=1.0.0", self.pages.metrics()),
            "/status" => ("application/json", self.pages.status()),
            "/ready" if self.pages.is_ready() => return Response::new(StatusCode::Ok),
            "/ready" => return Response::new(StatusCode::ServiceUnavailable),
            _ => return Response::new(StatusCode::NotFound),
        };
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(text);
        response.insert_header("content-type", content_type);
        response
    }
}
