use std::cell::RefCell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_gate::{CallerGuard, CallerLedger, CallerOptions, CallerPhase};
use kwg_h1::{HeadWriter, RequestHead};

use crate::gateway_metrics::GatewayMetrics;
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

/// Serves the metrics over HTTP.
pub(crate) async fn serve_metrics(
    listener: Async<TcpListener>,
    metrics: GatewayMetrics,
    clock: ClockHandle,
) {
    let options = CallerOptions {
        connections: MAX_CONNECTIONS,
        memory_bytes: MAX_BYTES,
        ..CallerOptions::default()
    };
    let ledger = Rc::new(RefCell::new(CallerLedger::new(options)));
    let listener = CallerListener::new(listener, &ledger, &clock);
    let executor = LocalExecutor::new();
    let accept = async {
        loop {
            let Some(stream) = listener.accept().await else { continue };
            let Some(caller) = listener.admit().await else {
                metrics.record_caller_end("no-place");
                continue;
            };
            let (metrics, clock) = (metrics.clone(), clock.clone());
            let serve = async move { serve(stream, &caller, &metrics, &clock).await };
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
) {
    let timeout = async {
        clock.sleep(CALL_LIMIT).await;
    };
    let shed = async {
        metrics.record_caller_end(caller.wait_closing().await);
    };
    answer(stream, caller, metrics, clock).or(timeout).or(shed).await;
}

async fn answer(
    stream: Async<TcpStream>,
    caller: &CallerGuard,
    metrics: &GatewayMetrics,
    clock: &ClockHandle,
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
    let (status, body) = match head.target.as_str() {
        "/metrics" => (200, metrics.render()),
        _ => (404, String::new()),
    };
    let mut reply = HeadWriter::reply(status);
    reply.field("Content-Type", "application/openmetrics-text; version=1.0.0; charset=utf-8");
    reply.field("Connection", "close");
    let reply = reply.finish_with(body.as_bytes());
    writer.begin_reply();
    if let Err(error) = writer.write(&reply).await {
        log::debug!("event=metrics-reader-gone error={error}");
    }
}
