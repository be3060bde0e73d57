use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_gate::{CallerGuard, CallerLedger, CallerOptions, CallerPhase, ExplainQuery};
use kwg_h1::{HeadWriter, HeaderList, RequestHead};

use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficInput;
use crate::socket::{ByteSocket, CallerListener, PacedWriter};

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 8 << 10;
/// Time limit for a request and its reply.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Maximum number of open connections: scrapers come every few seconds, one at a time. A further one
/// takes the place of the one that has been silent for longest.
const MAX_CONNECTIONS: usize = 8;
/// Maximum number of bytes held for all connections: the metrics are about 30 kB as text.
const MAX_BYTES: usize = 1 << 20;

/// Types of the replies' contents.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
/// Pause after an explanation, which bounds what explanations cost the traffic thread.
const EXPLAIN_PAUSE: Duration = Duration::from_millis(100);

/// Where explanations come from, one at a time.
#[derive(Debug, Clone)]
struct ExplainSource {
    traffic: Sender<TrafficInput>,
    is_busy: Rc<Cell<bool>>,
}

/// Allows the next explanation when it is dropped.
struct ExplainGuard<'a>(&'a ExplainSource);

impl Drop for ExplainGuard<'_> {
    fn drop(&mut self) {
        self.0.is_busy.set(false);
    }
}

/// Serves the metrics, and explanations of placements, over HTTP.
pub(crate) async fn serve_metrics(
    listener: Async<TcpListener>,
    metrics: GatewayMetrics,
    clock: ClockHandle,
    traffic: Sender<TrafficInput>,
) {
    let options = CallerOptions {
        connections: MAX_CONNECTIONS,
        memory_bytes: MAX_BYTES,
        ..CallerOptions::default()
    };
    let ledger = Rc::new(RefCell::new(CallerLedger::new(options)));
    let listener = CallerListener::new(listener, &ledger, &clock);
    let source = ExplainSource { traffic, is_busy: Rc::default() };
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let Some(stream) = listener.accept().await else { continue };
            let Some(caller) = listener.admit().await else {
                metrics.record_caller_end("no-place");
                continue;
            };
            let (metrics, clock, source) = (metrics.clone(), clock.clone(), source.clone());
            let serve = async move { serve(stream, &caller, &metrics, &clock, &source).await };
            executor.spawn(serve).detach();
        }
    };
    executor.run(accept).await
}

async fn serve(
    stream: Async<TcpStream>,
    caller: &CallerGuard,
    metrics: &GatewayMetrics,
    clock: &ClockHandle,
    source: &ExplainSource,
) {
    let timeout = async {
        clock.sleep(CALL_LIMIT).await;
    };
    let shed = async {
        metrics.record_caller_end(caller.wait_closing().await);
    };
    answer(stream, caller, metrics, clock, source).or(timeout).or(shed).await;
}

async fn answer(
    stream: Async<TcpStream>,
    caller: &CallerGuard,
    metrics: &GatewayMetrics,
    clock: &ClockHandle,
    source: &ExplainSource,
) {
    let mut socket = ByteSocket::accepted(stream);
    let (mut reader, writer) = socket.split();
    let writer = PacedWriter::new(writer, caller, clock);
    let head = loop {
        match RequestHead::parse(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, _))) => break head,
            Ok(None) if matches!(reader.fill().await, Ok(count) if count > 0) => {
                caller.set_phase(CallerPhase::Head, clock.now());
                if !caller.hold(reader.buffer_bytes(), clock.now()) {
                    return;
                }
            }
            _ => return,
        }
    };
    let (status, kind, body) = match head.target.as_str() {
        "/metrics" => (200, METRICS_TYPE, metrics.render()),
        "/explain" => explain(&head.headers, source).await,
        _ => (404, METRICS_TYPE, String::new()),
    };
    let mut reply = HeadWriter::reply(status);
    reply.field("Content-Type", kind);
    reply.field("Connection", "close");
    let reply = reply.finish_with(body.as_bytes()).expect("the fields are constant");
    writer.begin_reply();
    if let Err(error) = writer.write(&reply).await {
        log::debug!("event=metrics-reader-gone error={error}");
    }
}

/// Answers with the explanation of the request in the header fields, as JSON.
async fn explain(headers: &HeaderList, source: &ExplainSource) -> (u16, &'static str, String) {
    let Some(query) = explain_query(headers) else {
        return (400, JSON_TYPE, String::new());
    };
    if source.is_busy.replace(true) {
        return (503, JSON_TYPE, String::new());
    }
    let _free = ExplainGuard(source);
    let (sender, receiver) = bounded(1);
    let is_sent = source.traffic.try_send(TrafficInput::Explain(query, sender)).is_ok();
    let explanation = match is_sent {
        true => receiver.recv().await.ok(),
        false => None,
    };
    Timer::after(EXPLAIN_PAUSE).await;
    match explanation.and_then(|explanation| serde_json::to_string(&explanation).ok()) {
        Some(text) => (200, JSON_TYPE, text),
        None => (503, JSON_TYPE, String::new()),
    }
}

/// The request in the header fields `X-Explain-*`; none if a required one is missing or a number is unusable.
fn explain_query(headers: &HeaderList) -> Option<ExplainQuery> {
    let tokens = |name: &str| headers.get(name).map_or(Some(0), |value| value.parse().ok());
    Some(ExplainQuery {
        host: headers.get("X-Explain-Host")?.to_owned(),
        path: headers.get("X-Explain-Path")?.to_owned(),
        account: headers.get("X-Explain-Account").map(str::to_owned),
        prompt_tokens: tokens("X-Explain-Prompt")?,
        output_tokens: tokens("X-Explain-Output")?,
    })
}
