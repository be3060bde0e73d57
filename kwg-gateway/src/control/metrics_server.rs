use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_channel::{Sender, bounded};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use kwg_gate::ExplainQuery;
use kwg_h1::{HeadWriter, HeaderList, RequestHead};

use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficInput;
use crate::socket::ByteSocket;

/// Maximum length of a request head, in bytes.
const MAX_HEAD: usize = 8 << 10;
/// Time limit for a request and its reply; also the pause after `accept` failed.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Types of the replies' contents.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const JSON_TYPE: &str = "application/json";
/// Pause after an explanation, which bounds what explanations cost the traffic thread.
const EXPLAIN_PAUSE: Duration = Duration::from_millis(100);

/// Serves the metrics, and explanations of placements, over HTTP, one connection at a time.
pub(crate) async fn serve_metrics(
    listener: Async<TcpListener>,
    metrics: GatewayMetrics,
    traffic: Sender<TrafficInput>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let timeout = async {
                    Timer::after(CALL_LIMIT).await;
                };
                answer(stream, &metrics, &traffic).or(timeout).await;
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                Timer::after(CALL_LIMIT).await;
            }
        }
    }
}

async fn answer(
    stream: Async<TcpStream>,
    metrics: &GatewayMetrics,
    traffic: &Sender<TrafficInput>,
) {
    let mut socket = ByteSocket::accepted(stream);
    let (mut reader, writer) = socket.split();
    let head = loop {
        match RequestHead::parse(reader.inbox(), MAX_HEAD) {
            Ok(Some((head, _))) => break head,
            Ok(None) if matches!(reader.fill().await, Ok(count) if count > 0) => {}
            _ => return,
        }
    };
    let (status, kind, body) = match head.target.as_str() {
        "/metrics" => (200, METRICS_TYPE, metrics.render()),
        "/explain" => explain(&head.headers, traffic).await,
        _ => (404, METRICS_TYPE, String::new()),
    };
    let mut reply = HeadWriter::reply(status);
    reply.field("Content-Type", kind);
    reply.field("Connection", "close");
    let reply = reply.finish_with(body.as_bytes()).expect("the fields are constant");
    if let Err((_, error)) = writer.write(&reply).await {
        log::debug!("event=metrics-reader-gone error={error}");
    }
}

/// Answers with the explanation of the request in the header fields, as JSON.
async fn explain(
    headers: &HeaderList,
    traffic: &Sender<TrafficInput>,
) -> (u16, &'static str, String) {
    let Some(query) = explain_query(headers) else {
        return (400, JSON_TYPE, String::new());
    };
    let (sender, receiver) = bounded(1);
    let is_sent = traffic.try_send(TrafficInput::Explain(query, sender)).is_ok();
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
