use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use futures_lite::AsyncReadExt;
use hdrhistogram::Histogram;
use http_types::{Method, Response};
use kwg_clock::ClockHandle;
use kwg_front::FrontHeaders;
use kwg_http::CallClient;
use kwg_target::TargetHeaders;

use crate::{FleetHarness, FleetPlan};

/// Number of latency samples for each of direct and routed calls.
const SAMPLES: u32 = 1_000;
/// Tokens per answer under steady load: 25 requests per second make 7,100 tokens per second.
const LOAD_TOKENS: u32 = 284;

/// Measures the latency that a router adds to a direct call, and its CPU time under load.
#[derive(Debug, Clone, Copy)]
pub struct OverheadTrial;

impl OverheadTrial {
    /// Measures with the binaries in the directory `bin`, and returns the lines of a report. The
    /// steady load lasts `seconds` at `rate` requests per second.
    #[must_use]
    pub fn run(bin: &Path, seconds: u64, rate: u32) -> Vec<String> {
        let plan = FleetPlan {
            routers: 1,
            threads: 1,
            engines: 1,
            step_ms: 2,
            limit_tokens: 1 << 30,
            service_ms: 0,
            ..FleetPlan::default()
        };
        let harness = FleetHarness::start(bin, &plan);
        let (router, service) = (harness.fronts()[0], harness.service_address());
        let mut lines = Vec::new();
        let mut direct = Histogram::<u64>::new(3).expect("three digits are valid");
        let mut routed = Histogram::<u64>::new(3).expect("three digits are valid");
        // Direct and routed calls alternate, so that both see the same load of the machine.
        let key = Some(harness.account_key());
        for _ in 0..SAMPLES {
            let span = block_on(first_byte(service, "/v1/call", None));
            direct.record(span).expect("spans are in range");
            let span = block_on(first_byte(router, "/v1/requests/bookings", key));
            routed.record(span).expect("spans are in range");
        }
        for (name, histogram) in [("direct", &direct), ("routed", &routed)] {
            let (p50, p99) = (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99));
            lines.push(format!("first byte, {name}: p50 {p50} us, p99 {p99} us"));
        }
        let added = |quantile| {
            routed.value_at_quantile(quantile) as i64 - direct.value_at_quantile(quantile) as i64
        };
        lines.push(format!("added by the router: p50 {} us, p99 {} us", added(0.5), added(0.99)));
        lines.extend(steady_load(&harness, router, seconds, rate));
        lines
    }
}

/// Time from connecting to the first byte of the response body, in microseconds.
async fn first_byte(address: SocketAddr, path: &str, key: Option<&str>) -> u64 {
    let start = Instant::now();
    let mut response = open(address, path, key, 1).await;
    let mut byte = [0];
    let mut reader = response.take_body().into_reader();
    drop(reader.read(&mut byte).await);
    let span = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    drop(reader.read_to_end(&mut Vec::new()).await);
    span
}

/// Sends a request to a router with `key`, or to the service directly without, and returns the
/// response once its head has arrived.
async fn open(address: SocketAddr, path: &str, key: Option<&str>, tokens: u32) -> Response {
    let client = CallClient::new(address, Duration::from_secs(5), ClockHandle::system());
    let mut request = client.request(Method::Post, path).expect("a valid path");
    match key {
        Some(key) => {
            request.insert_header("authorization", format!("Bearer {key}"));
            request.insert_header(FrontHeaders::MAX_TOKENS, tokens.to_string());
        }
        None => {
            request.insert_header(TargetHeaders::TICKET, "direct");
        }
    }
    request.set_body("a prompt");
    let stream = client.connect().await.expect("the fleet listens");
    let response = client.open(stream, request).await.expect("the fleet answers");
    assert!(response.status().is_success(), "{path}: {}", response.status());
    response
}

/// Sends requests at a constant rate, and reports throughput and the router's CPU time.
fn steady_load(harness: &FleetHarness, router: SocketAddr, seconds: u64, rate: u32) -> Vec<String> {
    let key = harness.account_key();
    let executor = LocalExecutor::new();
    let (cpu_before, start) = (harness.routers[0].cpu_seconds(), Instant::now());
    let total = u64::from(rate) * seconds;
    let events: u64 = block_on(executor.run(async {
        let (mut tasks, mut next) = (Vec::new(), Instant::now());
        for _ in 0..total {
            tasks.push(executor.spawn(async move {
                let mut response =
                    open(router, "/v1/requests/patches", Some(key), LOAD_TOKENS).await;
                let mut text = Vec::new();
                drop(response.take_body().into_reader().read_to_end(&mut text).await);
                // Counts events by their `id` field; the hexadecimal answer contains no `id`.
                text.windows(2).filter(|pair| pair == b"id").count() as u64
            }));
            next += Duration::from_secs(1) / rate;
            Timer::at(next).await;
        }
        let mut events = 0;
        for task in tasks {
            events += task.await;
        }
        events
    }));
    let elapsed = start.elapsed().as_secs_f64();
    let cpu = harness.routers[0].cpu_seconds() - cpu_before;
    let tokens = total * u64::from(LOAD_TOKENS);
    vec![format!(
        "steady load, one traffic thread: {:.1} requests/s, {:.0} tokens/s in {:.0} events/s, \
         {:.1}% of a core, {} MB resident",
        total as f64 / elapsed,
        tokens as f64 / elapsed,
        events as f64 / elapsed,
        100.0 * cpu / elapsed,
        harness.routers[0].resident_mb(),
    )]
}
