//! A runner of a plain service, as the users' pages describe it.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::record::Record;

/// Requests that run at once; a few more wait.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;
/// The share of the requests on the bad route that fail: nine in 25, or 0.36.
const BAD: u64 = 9;
const BAD_OF: u64 = 25;

/// A request that reached the service, whether it was run or not.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at: Duration,
    pub version: &'static str,
}

/// One run of a request; `at` is its end.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub version: &'static str,
    pub id: String,
    pub failed: bool,
}

/// What the runners of a service share.
pub struct Service {
    pub record: Record,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub runs: Mutex<Vec<Run>>,
    /// The path prefix and the version of which nine in 25 requests fail.
    pub bad: Option<(&'static str, &'static str)>,
    bad_count: AtomicU64,
}

impl Service {
    pub fn new(record: &Record, bad: Option<(&'static str, &'static str)>) -> Arc<Self> {
        let (record, arrivals, runs) = (record.clone(), Mutex::default(), Mutex::default());
        Arc::new(Self { record, arrivals, runs, bad, bad_count: AtomicU64::new(0) })
    }

    fn arrive(&self, version: &'static str) {
        let arrival = Arrival { at: self.record.now(), version };
        self.arrivals.lock().expect("no holder panics").push(arrival);
    }
}

/// The slots of a runner and the requests that wait for one.
#[derive(Default)]
struct Places {
    /// Numbers of requests that run, and that run or wait.
    taken: Mutex<(u32, u32)>,
    freed: Condvar,
}

impl Places {
    /// Takes a place in the queue; returns false if it is full.
    fn enter(&self) -> bool {
        let mut taken = self.taken.lock().expect("no holder panics");
        let has_place = taken.1 < SLOTS + QUEUE;
        taken.1 += u32::from(has_place);
        has_place
    }

    /// Waits for a slot.
    fn take_slot(&self) {
        let taken = self.taken.lock().expect("no holder panics");
        let mut taken =
            self.freed.wait_while(taken, |taken| taken.0 >= SLOTS).expect("no holder panics");
        taken.0 += 1;
    }

    fn leave(&self) {
        let mut taken = self.taken.lock().expect("no holder panics");
        taken.0 -= 1;
        taken.1 -= 1;
        self.freed.notify_one();
    }
}

/// A runner that serves until it is stopped.
pub struct Runner {
    pub id: String,
    pub version: &'static str,
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    pub fn start(id: &str, version: &'static str, service: &Arc<Service>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (is_stopped, open) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let runner = Self { id: id.to_owned(), version, address, is_stopped, open };
        let (stopped, open) = (Arc::clone(&runner.is_stopped), Arc::clone(&runner.open));
        let (id, service) = (id.to_owned(), Arc::clone(service));
        let taken = Arc::new(Places::default());
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    open.lock().expect("no holder panics").push(copy);
                }
                let (id, service, taken) = (id.clone(), Arc::clone(&service), Arc::clone(&taken));
                std::thread::spawn(move || serve(stream, &id, version, &service, &taken));
            }
        });
        Ok(runner)
    }

    /// The entry with which it registers itself in the store; `number` grows with each write.
    pub fn entry(&self, service: &str, zone: &str, number: u32) -> String {
        let Self { address, version, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\
             \"seqNo\":{number},\"born\":1780000000000}}"
        )
    }

    /// Ends it at once, without draining.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        for stream in self.open.lock().expect("no holder panics").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn serve(
    mut stream: TcpStream,
    id: &str,
    version: &'static str,
    service: &Service,
    taken: &Places,
) {
    let mut inbox = Vec::new();
    drop(stream.set_nodelay(true));
    while let Some((path, fields)) = read_request(&mut stream, &mut inbox) {
        let field = |name: &str| fields.get(name).map_or("", String::as_str);
        let request = field("x-knapweedglade-request-id").to_owned();
        let head = format!("X-Knapweedglade-Request-Id: {request}\r\n");
        let reply = if path == "/health" {
            // It waits for a slot as other requests do.
            let has_place = taken.enter();
            if has_place {
                taken.take_slot();
                taken.leave();
            }
            let status = if has_place { "200 OK" } else { "503 Service Unavailable" };
            format!(
                "HTTP/1.1 {status}\r\nX-Knapweedglade-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )
        } else if field("x-knapweedglade-expect-instance") != id {
            format!("HTTP/1.1 421 Misdirected Request\r\n{head}Content-Length: 0\r\n\r\n")
        } else if !taken.enter() {
            service.arrive(version);
            format!(
                "HTTP/1.1 503 Service Unavailable\r\n{head}X-Knapweedglade-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            )
        } else {
            service.arrive(version);
            let is_bad =
                service.bad.is_some_and(|(prefix, bad)| bad == version && path.starts_with(prefix));
            let number = if is_bad { service.bad_count.fetch_add(1, Ordering::SeqCst) } else { 0 };
            let failed = is_bad && number * BAD % BAD_OF < BAD;
            taken.take_slot();
            service.record.line(format_args!("run {request} {path} at={id} version={version}"));
            std::thread::sleep(Duration::from_millis(30));
            taken.leave();
            let run = Run { at: service.record.now(), version, id: request, failed };
            service.runs.lock().expect("no holder panics").push(run);
            let status = if failed { "500 Internal Server Error" } else { "200 OK" };
            let body = format!("{path} by {id}");
            format!(
                "HTTP/1.1 {status}\r\n{head}X-Knapweedglade-Server-Seal: seal.{id}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
fn read_request(
    stream: &mut TcpStream,
    inbox: &mut Vec<u8>,
) -> Option<(String, HashMap<String, String>)> {
    loop {
        if let Some(end) = inbox.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&inbox[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let path = lines.next()?.split(' ').nth(1)?.to_owned();
            let fields: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = fields.get("content-length").and_then(|text| text.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if inbox.len() >= whole {
                inbox.drain(..whole);
                return Some((path, fields));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => inbox.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}
