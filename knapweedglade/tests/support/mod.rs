//! Starts a gateway process in front of stand-ins and calls it.
#![allow(dead_code, reason = "each test binary uses a part of it")]

pub mod crowd;

use std::fmt::Write as _;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use kwg_h1::{BodyDecoder, ReplyHead};
use kwg_standin::{RunnerStandin, SampleFleet, StoreStandin};
use rustix::process::Pid;
pub use rustix::process::Signal;
use serde_json::Value;

/// Time limit for every wait of a test.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Name of the file with the gateway's log, in its folder.
const LOG_FILE: &str = "gateway.log";

/// Memory limit in the settings: that of the operators' smallest instances.
pub const MEMORY_MB: u64 = 88;

/// The limits of a gateway process in its settings.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// Limits of gateways unless a test sets others; the descriptors are the default of the settings.
const USUAL_LIMITS: ProcessLimits = ProcessLimits { memory_mb: MEMORY_MB, descriptors: 1_024 };

/// A store, runners and one gateway.
pub struct TestFleet {
    pub store: StoreStandin,
    pub runners: Vec<RunnerStandin>,
    pub gateway: GatewayChild,
}

/// A gateway process with its settings file. The drop kills it and removes the file; in a test that
/// fails, it prints the gateway's log.
pub struct GatewayChild {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    child: Child,
    folder: PathBuf,
}

impl Drop for GatewayChild {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.folder.join(LOG_FILE)).unwrap_or_default();
            println!("log of the gateway:\n{log}");
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Port of all addresses of gateways, outside the range from which the kernel takes ports.
const GATEWAY_PORT: u16 = 7_000;

/// Returns an address on a loopback IP that only this process and call uses. No socket is bound to
/// find a free port: a process that another test starts meanwhile would hold a copy of that socket
/// for a moment, and the gateway could not bind its address.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed).clamp(1, 254);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, high.max(1), low, number), GATEWAY_PORT).into()
}

/// Grace period of gateways, in seconds: that of the operators' instances.
const GRACE_SECS: u64 = 8;

impl GatewayChild {
    pub fn start(name: &str, store: &StoreStandin) -> Self {
        Self::start_with_grace(name, store, GRACE_SECS)
    }

    pub fn start_with_limits(name: &str, store: &StoreStandin, limits: ProcessLimits) -> Self {
        Self::start_with(name, store, GRACE_SECS, limits)
    }

    pub fn start_with_grace(name: &str, store: &StoreStandin, grace_secs: u64) -> Self {
        Self::start_with(name, store, grace_secs, USUAL_LIMITS)
    }

    fn start_with(
        name: &str,
        store: &StoreStandin,
        grace_secs: u64,
        limits: ProcessLimits,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("kwg-gateway-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("writable");
        let (front, ready, metrics, peer) =
            (own_address(), own_address(), own_address(), own_address());
        let mut text = String::from("[gateway]\n");
        writeln!(text, "name = {name}\ndomain = graz\nfront = {front}\nready = {ready}")
            .expect("grows");
        writeln!(text, "metrics = {metrics}\npeer = {peer}\nstore = {}", store.address())
            .expect("grows");
        let ProcessLimits { memory_mb, descriptors } = limits;
        writeln!(text, "memory_mb = {memory_mb}\ndescriptors = {descriptors}").expect("grows");
        writeln!(text, "grace_s = {grace_secs}\n[domains]\ngraz = ost").expect("grows");
        let file = folder.join("gateway.ini");
        std::fs::write(&file, text).expect("writable");
        let child = Command::new(env!("CARGO_BIN_EXE_knapweedglade"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(File::create(folder.join(LOG_FILE)).expect("writable"))
            .spawn()
            .expect("the binary is built");
        Self { front, ready, metrics, child, folder }
    }

    pub fn ready_status(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return 0 };
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("a valid timeout");
        let check = b"GET /knapweedglade/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(check).expect("connected");
        read_answer(&mut stream).status
    }

    pub fn wait_ready(&self) {
        wait_until("ready", || self.ready_status() == 200);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let file = format!("/proc/{}/statm", self.child.id());
        let text = std::fs::read_to_string(file).expect("the process runs");
        let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.expect("a number") * 4_096
    }

    /// The highest resident memory of the process so far, in bytes.
    pub fn peak_bytes(&self) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(file).expect("the process runs");
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:")?.strip_suffix("kB"));
        peak.and_then(|peak| peak.trim().parse::<u64>().ok()).expect("a number") << 10
    }

    /// Number of open file descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(folder).expect("the process runs").count()
    }

    /// Stops all threads of the process. The signal alone may return before the last one stops, which
    /// may still read what arrives after it.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        wait_until("all threads are stopped", || {
            let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
            tasks.expect("the process exists").all(|task| is_stopped(&task.expect("a task").path()))
        });
    }

    /// Continues the process after [`Self::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends a signal by a system call. A command would be a child of the test as well: while it is
    /// started, a stop of the gateway interrupts reads of other threads of the test.
    pub fn signal(&self, signal: Signal) {
        let process = Pid::from_child(&self.child);
        rustix::process::kill_process(process, signal).expect("the process exists");
    }

    pub fn rewrite_settings(&self, change: impl FnOnce(&str) -> String) {
        let file = self.folder.join("gateway.ini");
        let text = std::fs::read_to_string(&file).expect("the settings file exists");
        std::fs::write(&file, change(&text)).expect("writable");
    }

    pub fn wait_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + Duration::from_secs(12);
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the gateway does not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Whether the thread with this folder in `/proc` is stopped by a signal.
fn is_stopped(task: &Path) -> bool {
    let text = std::fs::read_to_string(task.join("stat")).expect("the thread exists");
    // The state follows the name, which stands in parentheses.
    text.rsplit(") ").next().is_some_and(|fields| fields.starts_with('T'))
}

impl TestFleet {
    /// Starts a store with the configuration, `count` runners of service `llm` and a gateway; waits
    /// until the gateway is ready.
    pub fn start(name: &str, count: usize) -> Self {
        let SampleFleet { store, runners } = SampleFleet::start(count).expect("ports are free");
        let gateway = GatewayChild::start(name, &store);
        gateway.wait_ready();
        Self { store, runners, gateway }
    }

    pub fn call(&self, call: &str) -> Answer {
        call_at(self.gateway.front, call.as_bytes())
    }

    pub fn runs(&self) -> usize {
        self.runners.iter().map(|runner| runner.received().len()).sum()
    }

    /// Puts a changed sample configuration into the store, and waits until the gateway applies it.
    pub fn apply_config(&self, change: impl FnOnce(&mut Value)) {
        let mut config = SampleFleet::config(2);
        config["tenants"][0]["apiKeys"] = serde_json::json!(["key-1", "key-3"]);
        change(&mut config);
        self.store.put("op", "config", Some(config.to_string().as_bytes()));
        let call = request("GET", "/scan/a", "in-force").replace("key-1", "key-3");
        wait_until("the configuration is in force", || self.call(&call).status == 200);
    }
}

/// Sets the timeout of all routes, in milliseconds.
pub fn set_timeouts(config: &mut Value, timeout_ms: u32) {
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = timeout_ms.into();
    }
}

/// Formats a request with the header fields that the gateway requires.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: graz.example\r\nX-Knapweedglade-Request-Id: {id}\r\n\
         X-Knapweedglade-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Formats a POST request with a body of `length` bytes.
pub fn long_request(path: &str, id: &str, length: usize) -> String {
    let text = request("POST", path, id);
    let head = text.strip_suffix("body").expect("the body is last");
    let head = head.replace("Content-Length: 4", &format!("Content-Length: {length}"));
    head + &"b".repeat(length)
}

/// The answer to a call.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status code; 0 if there was no answer.
    pub status: u16,
    pub head: Option<ReplyHead>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.as_ref().and_then(|head| head.headers.get(name))
    }

    /// Asserts that each of a stream's six events has arrived once, and its end.
    pub fn assert_whole_stream(&self) {
        let text = self.text();
        assert!(self.is_complete, "the stream was cut after: {text}");
        for event in 1..=6 {
            assert_eq!(text.matches(&format!("id: {event}\n")).count(), 1, "event {event}: {text}");
        }
    }
}

/// Sends the request `r1` from a thread of its own.
pub fn call_in_background(front: SocketAddr, path: &str) -> JoinHandle<Answer> {
    let text = request("POST", path, "r1");
    std::thread::spawn(move || call_at(front, text.as_bytes()))
}

/// Sends a request on a new connection and reads the answer.
pub fn call_at(address: SocketAddr, bytes: &[u8]) -> Answer {
    let Ok(mut stream) = TcpStream::connect(address) else { return Answer::default() };
    stream.set_read_timeout(Some(WAIT_LIMIT)).expect("a valid timeout");
    if stream.write_all(bytes).is_err() {
        return Answer::default();
    }
    read_answer(&mut stream)
}

/// Reads an answer until it is complete, the connection closes or the read times out.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let (mut inbox, mut buffer) = (Vec::new(), [0; 4096]);
    let mut answer = Answer::default();
    let mut decoder: Option<BodyDecoder> = None;
    loop {
        if decoder.is_none()
            && let Ok(Some((head, used))) = ReplyHead::parse(&inbox)
        {
            inbox.drain(..used);
            answer.status = head.status;
            decoder = Some(BodyDecoder::new(head.framing));
            answer.head = Some(head);
        }
        if let Some(decoder) = &mut decoder {
            let used = decoder.decode(&inbox, &mut answer.body).expect("well framed");
            inbox.drain(..used);
            answer.is_complete = decoder.is_done();
            if answer.is_complete {
                return answer;
            }
        }
        match stream.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Ok(count) if count > 0 => inbox.extend_from_slice(&buffer[..count]),
            _ => return answer,
        }
    }
}

/// Waits until the first byte of an answer has arrived; it stays in the socket.
pub fn wait_begun(stream: &TcpStream) {
    loop {
        match stream.peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            begun => {
                return assert_eq!(begun.expect("an answer begins"), 1, "the connection ended");
            }
        }
    }
}

/// Polls `holds` until it is true; panics with `what` after [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}: not within {WAIT_LIMIT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
