use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kwg_h1::{HeadWriter, RequestHead};

use crate::gateway_metrics::GatewayMetrics;
use crate::socket::ByteSocket;

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 8 << 10;
/// Time limit for a request and its reply; also the pause after `accept` failed.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Serves the metrics over HTTP, one connection at a time.
pub(crate) async fn serve_metrics(listener: Async<TcpListener>, metrics: GatewayMetrics) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let timeout = async {
                    Timer::after(CALL_LIMIT).await;
                };
                answer(stream, &metrics).or(timeout).await;
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                Timer::after(CALL_LIMIT).await;
            }
        }
    }
}

async fn answer(stream: Async<TcpStream>, metrics: &GatewayMetrics) {
    let mut socket = ByteSocket::accepted(stream);
    let (mut reader, writer) = socket.split();
    let head = loop {
        match RequestHead::parse(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, _))) => break head,
            Ok(None) if matches!(reader.fill().await, Ok(count) if count > 0) => {}
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
    let reply = reply.finish_with(body.as_bytes()).expect("the fields are constant");
    if let Err((_, error)) = writer.write(&reply).await {
        log::debug!("event=metrics-reader-gone error={error}");
    }
}
