//! Runners of a plain service, and of a model.

use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kwg_h1::{HeadWriter, RequestHead};
use serde_json::{Value, json};

use crate::http::{Requests, serve};
use crate::record::Record;

/// A request that a runner has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub request: String,
    pub runner: String,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    work_ms: Arc<AtomicU64>,
}

impl Runner {
    /// Starts a runner that answers after `work`.
    pub fn start(ip: Ipv4Addr, id: &str, service: &str, work: Duration, record: &Record) -> Self {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let work_ms = Arc::new(AtomicU64::new(work.as_millis() as u64));
        let (of_server, name, record) = (Arc::clone(&runs), id.to_owned(), record.clone());
        let work = Arc::clone(&work_ms);
        let address = serve(ip, move |requests| {
            while let Some((head, _)) = requests.next()? {
                answer(requests, &head, &name, &of_server, &work, &record)?;
            }
            Ok(())
        });
        Self { id: id.to_owned(), service: service.to_owned(), address, runs, work_ms }
    }

    pub fn set_work(&self, work: Duration) {
        self.work_ms.store(work.as_millis() as u64, Ordering::Relaxed);
    }

    /// The entry in the store.
    pub fn entry(&self, zone: &str) -> Value {
        json!({ "service": self.service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
            "born": 1_790_000_000_000_u64 })
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn answer(
    requests: &mut Requests,
    head: &RequestHead,
    name: &str,
    runs: &Mutex<Vec<Run>>,
    work: &AtomicU64,
    record: &Record,
) -> io::Result<()> {
    let id = head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
    let expected = head.headers.get("X-Knapweedglade-Expect-Instance");
    if expected.is_some_and(|expected| expected != name) || id.is_empty() {
        let mut reply = HeadWriter::reply(if id.is_empty() { 400 } else { 421 });
        reply.field("X-Knapweedglade-Request-Id", &id);
        reply.field("X-Knapweedglade-Not-Executed", "1");
        return requests.stream.write_all(&reply.finish_with(b"").expect("header text"));
    }
    let run = Run { at: record.now(), request: id.clone(), runner: name.to_owned() };
    record.line(format_args!("runner {name} runs {id}"));
    runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    std::thread::sleep(Duration::from_millis(work.load(Ordering::Relaxed)));
    let mut reply = HeadWriter::reply(200);
    reply.field("X-Knapweedglade-Request-Id", &id);
    reply.field("X-Knapweedglade-Server-Seal", format_args!("seal.{name}.{id}"));
    let body = format!("answer of {name} to {id}");
    requests.stream.write_all(&reply.finish_with(body.as_bytes()).expect("header text"))
}
