use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use kwg_clock::ClockHandle;
use kwg_flow::{DispatchOrder, ResumeOrder, TargetEvent};
use kwg_http::{BodyReader, CallClient, CallError, SocketStream};
use kwg_model::{ByteChunk, PoolKind, TicketKey, VersionName};
use kwg_telemetry::HybridClock;
use snafu::{ResultExt, ensure};

use crate::TargetHeaders;
use crate::stream_error::{
    BodySnafu, ExchangeSnafu, IdleSnafu, MissingSnafu, StatusSnafu, StreamError,
};
use crate::stream_reader::read_stream;

/// Timeouts and limits of calls to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetOptions {
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// How long a stream may go without receiving bytes.
    pub idle_timeout: Duration,
    /// Maximum length of a service's reply, in bytes.
    pub reply_bytes: usize,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            reply_bytes: 4 << 20,
        }
    }
}

/// Sends requests to targets. Events for the traffic core are reported through a callback.
#[derive(Debug, Clone)]
pub struct TargetClient {
    options: TargetOptions,
    clock: ClockHandle,
    hybrid_clock: HybridClock,
}

impl TargetClient {
    /// Creates a client for any target. The stamps of `hybrid_clock` are exchanged with targets.
    #[must_use]
    pub fn new(options: TargetOptions, clock: ClockHandle, hybrid_clock: HybridClock) -> Self {
        Self { options, clock, hybrid_clock }
    }

    /// Dispatches a request and reports its answer.
    ///
    /// If the request cannot be built or connecting fails, no byte was written, and the order is
    /// returned as [`TargetEvent::NotStarted`]. Later failures are not retried, because the request
    /// may be running.
    pub async fn dispatch(&self, order: DispatchOrder, report: impl AsyncFn(TargetEvent)) {
        let client = self.call_client(order.address);
        let (request, stream) = (self.dispatch_request(&client, &order), client.connect().await);
        let (Ok(request), Ok(stream)) = (request, stream) else {
            return report(TargetEvent::NotStarted(Box::new(order))).await;
        };
        let kind = order.kind;
        // The dispatch permit is used up here: the request is about to be written.
        drop(order);
        let response = self.open(&client, stream, request).await;
        let result = match (response, kind) {
            (Ok(response), PoolKind::Engine) => self.read_engine(response, &report).await,
            (Ok(response), PoolKind::Service) => self.read_service(response, &report).await,
            (Err(error), _) => Err(error),
        };
        report_failure(result, &report).await;
    }

    /// Reads the rest of a stream that was dispatched earlier, from the order's offset.
    pub async fn resume(&self, order: ResumeOrder, report: impl AsyncFn(TargetEvent)) {
        let client = self.call_client(order.address);
        let path = format!("{}?from={}", stream_path(&order.key), order.offset);
        let result = async {
            let request = client.request(Method::Get, path).context(ExchangeSnafu)?;
            let stream = client.connect().await.context(ExchangeSnafu)?;
            let response = self.open(&client, stream, request).await?;
            self.read_engine(response, &report).await
        };
        report_failure(result.await, &report).await;
    }

    /// Requests that a target stop a stream. Failures are ignored.
    pub async fn cancel(&self, address: SocketAddr, key: &TicketKey) {
        let client = self.call_client(address);
        let request = client.request(Method::Delete, stream_path(key));
        if let Ok(request) = request {
            drop(client.call(request).await);
        }
    }

    /// Orders a target to load a version, then returns whether it lists that version as loaded.
    ///
    /// The call is idempotent.
    pub async fn load(&self, address: SocketAddr, fence: u64, version: &VersionName) -> bool {
        let client = self.call_client(address);
        let path = format!("/v1/orders?fence={fence}&version={version}");
        let call = async |method, path: &str| {
            let reply = client.call(client.request(method, path).ok()?).await.ok()?;
            (reply.status == StatusCode::Ok).then_some(reply.body)
        };
        if call(Method::Post, &path).await.is_none() {
            return false;
        }
        let loaded = call(Method::Get, "/v1/versions").await.unwrap_or_default();
        let loaded: Vec<VersionName> = serde_json::from_slice(&loaded).unwrap_or_default();
        loaded.contains(version)
    }

    fn call_client(&self, address: SocketAddr) -> CallClient {
        CallClient::new(address, self.options.connect_timeout, self.clock.clone())
    }

    async fn open(
        &self,
        client: &CallClient,
        stream: SocketStream,
        request: Request,
    ) -> Result<Response, StreamError> {
        let open = async { client.open(stream, request).await.context(ExchangeSnafu) };
        let idle = async {
            self.clock.sleep(self.options.idle_timeout).await;
            IdleSnafu.fail()
        };
        open.or(idle).await
    }

    fn dispatch_request(
        &self,
        client: &CallClient,
        order: &DispatchOrder,
    ) -> Result<Request, CallError> {
        let key = order.permit.key();
        let path = match order.kind {
            PoolKind::Engine => stream_path(key),
            PoolKind::Service => "/v1/call".to_owned(),
        };
        let mut request = client.request(Method::Post, path)?;
        request.insert_header(TargetHeaders::TICKET, key.to_string());
        request.insert_header(TargetHeaders::VERSION, order.version.as_str());
        request.insert_header(TargetHeaders::MAX_TOKENS, order.max_tokens.to_string());
        request.insert_header(TargetHeaders::STAMP, self.hybrid_clock.stamp().to_string());
        request.set_body(&*order.body);
        Ok(request)
    }

    async fn read_engine(
        &self,
        response: Response,
        report: &impl AsyncFn(TargetEvent),
    ) -> Result<(), StreamError> {
        self.check_head(&response)?;
        read_stream(response, self.options.idle_timeout, &self.clock, report).await
    }

    async fn read_service(
        &self,
        mut response: Response,
        report: &impl AsyncFn(TargetEvent),
    ) -> Result<(), StreamError> {
        self.check_head(&response)?;
        let body = BodyReader::read_reply(&mut response, self.options.reply_bytes).await;
        let body = body.context(BodySnafu)?;
        let length = body.len() as u64;
        report(TargetEvent::Part { offset: 0, chunk: ByteChunk::from(body) }).await;
        report(TargetEvent::End { length }).await;
        Ok(())
    }

    fn check_head(&self, response: &Response) -> Result<(), StreamError> {
        let stamp = response.header(TargetHeaders::STAMP);
        if let Some(stamp) = stamp.and_then(|stamp| stamp.as_str().parse().ok()) {
            self.hybrid_clock.observe(stamp);
        }
        let status = response.status();
        ensure!(status != StatusCode::NotFound, MissingSnafu);
        ensure!(status == StatusCode::Ok, StatusSnafu { status });
        Ok(())
    }
}

fn stream_path(key: &TicketKey) -> String {
    format!("/v1/streams/{key}")
}

async fn report_failure(result: Result<(), StreamError>, report: &impl AsyncFn(TargetEvent)) {
    let Err(error) = result else { return };
    report(match error {
        StreamError::Missing => TargetEvent::Missing,
        StreamError::Status { .. } | StreamError::TargetFailed { .. } => TargetEvent::Failed,
        StreamError::Exchange { .. }
        | StreamError::Read { .. }
        | StreamError::NoEnd
        | StreamError::Idle
        | StreamError::Malformed { .. }
        | StreamError::Body { .. } => TargetEvent::Cut,
    })
    .await;
}
