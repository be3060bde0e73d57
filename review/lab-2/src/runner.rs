//! Runners of a plain service.

use std::io::{self, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use kwg_h1::{HeadWriter, RequestHead};
use serde_json::{Value, json};

use crate::http::Requests;
use crate::record::Record;

/// A request that a runner has begun to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub request: String,
    pub path: String,
    pub runner: String,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    record: Record,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    /// Whether its process runs.
    is_up: AtomicBool,
    /// Number of its starts.
    starts: AtomicU64,
}

impl Runner {
    /// Starts a runner that answers after `work`. A request to a path that ends in `/crash` ends its process.
    pub fn start(ip: Ipv4Addr, id: &str, service: &str, work: Duration, record: &Record) -> Self {
        let shared = Arc::new(Shared {
            name: id.to_owned(),
            record: record.clone(),
            work,
            runs: Mutex::default(),
            streams: Mutex::default(),
            is_up: AtomicBool::new(true),
            starts: AtomicU64::new(1),
        });
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let serving = Arc::clone(&shared);
        thread::spawn(move || serving.serve(listener, address));
        Self { id: id.to_owned(), service: service.to_owned(), address, shared }
    }

    /// The entry in the store.
    pub fn entry(&self, zone: &str) -> Value {
        let born = 1_790_000_000_000 + self.shared.starts.load(Ordering::SeqCst);
        json!({ "service": self.service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seqNo": 1,
            "born": born })
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Whether its process has ended.
    pub fn has_ended(&self) -> bool {
        !self.shared.is_up.load(Ordering::SeqCst)
    }

    /// Its process starts again, at the same address and under the same id.
    pub fn start_again(&self) {
        self.shared.starts.fetch_add(1, Ordering::SeqCst);
        self.shared.is_up.store(true, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn serve(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            let is_up = self.is_up.load(Ordering::SeqCst);
            match &listener {
                None if is_up => listener = TcpListener::bind(address).ok(),
                Some(_) if !is_up => listener = None,
                Some(open) => {
                    open.set_nonblocking(true).expect("a socket option");
                    while let Ok((stream, _)) = open.accept() {
                        self.serve_connection(stream);
                    }
                }
                None => {}
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        let set = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
        let (Ok(()), Ok(copy)) = (set, stream.try_clone()) else { return };
        lock(&self.streams).push(copy);
        let own = Arc::clone(self);
        thread::spawn(move || {
            let mut requests = Requests::new(stream);
            while let Ok(Some((head, _))) = requests.next() {
                if own.answer(&mut requests, &head).is_err() {
                    return;
                }
            }
        });
    }

    fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in lock(&self.streams).drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn answer(&self, requests: &mut Requests, head: &RequestHead) -> io::Result<()> {
        let id = head.headers.get("X-Knapweedglade-Request-Id").unwrap_or("").to_owned();
        let expected = head.headers.get("X-Knapweedglade-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.name) || id.is_empty() {
            let mut reply = HeadWriter::reply(if id.is_empty() { 400 } else { 421 });
            reply.field("X-Knapweedglade-Request-Id", &id);
            reply.field("X-Knapweedglade-Not-Executed", "1");
            return requests.stream.write_all(&reply.finish_with(b"").expect("header text"));
        }
        self.record.line(format_args!("runner {} runs {id} ({})", self.name, head.target));
        lock(&self.runs).push(Run {
            at: self.record.now(),
            request: id.clone(),
            path: head.target.clone(),
            runner: self.name.clone(),
        });
        if head.target.ends_with("/crash") {
            self.record.line(format_args!("runner {} crashes under {id}", self.name));
            self.end();
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        thread::sleep(self.work);
        let mut reply = HeadWriter::reply(200);
        reply.field("X-Knapweedglade-Request-Id", &id);
        reply.field("X-Knapweedglade-Server-Seal", format_args!("seal.{}.{id}", self.name));
        let body = format!("answer of {} to {id}", self.name);
        requests.stream.write_all(&reply.finish_with(body.as_bytes()).expect("header text"))
    }
}
