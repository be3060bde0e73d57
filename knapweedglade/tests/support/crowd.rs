//! Crowds of misbehaving callers at a gateway process, and what the process holds meanwhile.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use kwg_standin::SampleFleet;

use super::{Answer, GatewayChild, ProcessLimits, TestFleet, call_at, request, set_timeouts};

/// Limits of the gateway in tests of memory: 450 of the descriptors are for callers.
pub const MEMORY_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 28, descriptors: 1_650 };
/// Limits of the gateway in tests of descriptors.
pub const DESCRIPTOR_LIMITS: ProcessLimits = ProcessLimits { memory_mb: 40, descriptors: 200 };
/// Number of callers of a crowd: more than both limits allow.
pub const CROWD: usize = 480;
/// Limits for callers, in milliseconds. They exceed the time for which an ordinary request is repeated, so
/// that a crowd is not gone by then.
const HEAD_LIMIT_MS: u32 = 20_000;
const IDLE_LIMIT_MS: u32 = 20_000;
const ROUTE_LIMIT_MS: u32 = 20_000;
/// How long an ordinary request is repeated until it is answered.
pub const REPEAT_LIMIT: Duration = Duration::from_secs(6);
/// Time limit for one write of a crowd's caller. A gateway that stops reading is no fault.
const WRITE_LIMIT: Duration = Duration::from_millis(20);

/// Only one crowd runs at a time.
static TURN: Mutex<()> = Mutex::new(());

/// A fleet whose gateway has low limits, for the time of one crowd.
pub struct CrowdSite {
    pub fleet: TestFleet,
    limits: ProcessLimits,
    _turn: MutexGuard<'static, ()>,
}

/// The open connections of a crowd. They are closed on drop.
pub struct Crowd(pub Vec<TcpStream>);

impl CrowdSite {
    /// Starts a gateway with these limits, and with heads of 16,384 bytes and bodies of `body_bytes`.
    pub fn start(name: &str, limits: ProcessLimits, body_bytes: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let SampleFleet { store, runners } = SampleFleet::start(2).expect("ports are free");
        let gateway = GatewayChild::start_with_limits(name, &store, limits);
        gateway.wait_ready();
        let fleet = TestFleet { store, runners, gateway };
        fleet.apply_config(|config| {
            config["limits"]["maxHeaderBytes"] = 16_384.into();
            config["limits"]["maxBodyBytes"] = body_bytes.into();
            config["limits"]["headerTimeoutMs"] = HEAD_LIMIT_MS.into();
            config["limits"]["idleTimeoutMs"] = IDLE_LIMIT_MS.into();
            set_timeouts(config, ROUTE_LIMIT_MS);
        });
        Self { fleet, limits, _turn: turn }
    }

    /// Asserts that an ordinary request is answered, and that the process is within its limits.
    pub fn assert_sound(&self, when: &str) {
        let answer = self.call_ordinary();
        self.assert_bounded(when);
        assert_eq!(answer.status, 200, "{when}: an ordinary request, 0: no answer");
    }

    /// Sends an ordinary request until it has an answer. As callers do, one that is refused or cut is
    /// sent again on a new connection.
    pub fn call_ordinary(&self) -> Answer {
        let call = request("GET", "/scan/a", "ordinary");
        let end = Instant::now() + REPEAT_LIMIT;
        loop {
            let answer = call_at(self.fleet.gateway.front, call.as_bytes());
            if answer.status == 200 || Instant::now() > end {
                return answer;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Asserts that the peak of resident memory and the open descriptors are within the settings.
    pub fn assert_bounded(&self, when: &str) {
        let gateway = &self.fleet.gateway;
        let (peak, open) = (gateway.peak_bytes(), gateway.descriptor_count());
        println!("{when}: peak {} KB, {open} descriptors", peak >> 10);
        let bound = self.limits.memory_mb << 20;
        assert!(peak < bound, "{when}: {} of {} KB", peak >> 10, bound >> 10);
        let bound = usize::try_from(self.limits.descriptors).expect("small");
        assert!(open < bound, "{when}: {open} of {bound} descriptors");
    }

    /// Lets a crowd send, and checks the process beside it, a while later, and after it.
    pub fn play(&self, what: &str, bytes: impl Fn(usize) -> Vec<u8>) {
        let crowd = Crowd::send(self.fleet.gateway.front, CROWD, bytes);
        self.assert_sound(&format!("{what}, beside the crowd"));
        thread::sleep(Duration::from_millis(600));
        self.assert_sound(&format!("{what}, a while later"));
        drop(crowd);
        self.assert_sound(&format!("{what}, after the crowd"));
    }
}

impl Crowd {
    /// Opens connections and sends `bytes` on each of them, as far as the peer takes it.
    pub fn send(address: SocketAddr, count: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Self {
        let connect = |number| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_write_timeout(Some(WRITE_LIMIT)).expect("a valid timeout");
            send_part(&mut stream, &bytes(number));
            Some(stream)
        };
        Self((0..count).filter_map(connect).collect())
    }

    /// Sends one more part on each connection.
    pub fn send_each(&mut self, bytes: &[u8]) {
        self.0.iter_mut().for_each(|stream| send_part(stream, bytes));
    }

    /// Reads some of what has arrived on each connection.
    pub fn read_each(&mut self) {
        for stream in &mut self.0 {
            stream.set_nonblocking(true).expect("a socket");
            // There may be nothing to read, or the connection may be closed.
            drop(stream.read(&mut [0; 64]));
            stream.set_nonblocking(false).expect("a socket");
        }
    }
}

fn send_part(stream: &mut TcpStream, bytes: &[u8]) {
    // The gateway may have closed the connection, or may not read; both are allowed.
    drop(stream.write_all(bytes));
}

/// The head of a request with these fields before its end.
pub fn head(path: &str, id: usize, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: graz.example\r\nX-Knapweedglade-Request-Id: crowd-{id}\r\n\
         X-Knapweedglade-Deadline-Ms: 30000\r\nAuthorization: Token key-1\r\n{fields}\r\n"
    )
}

/// A request with a body of this many bytes, of which the last is not sent.
pub fn body_less_one(path: &str, id: usize, length: usize) -> Vec<u8> {
    let head = head(path, id, &format!("Content-Length: {length}\r\n"));
    [head.into_bytes(), vec![b'a'; length - 1]].concat()
}

/// A request with a body in chunks of this many bytes, without the last chunk.
pub fn chunks_less_one(path: &str, id: usize, length: usize, chunk: usize) -> Vec<u8> {
    let head = head(path, id, "Transfer-Encoding: chunked\r\n");
    let part = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
    [head.into_bytes(), part.repeat(length / chunk).into_bytes()].concat()
}

/// The first bytes of a head with very many short fields, without its end.
pub fn short_fields(length: usize) -> Vec<u8> {
    let mut text = String::from("POST /scan/a HTTP/1.1\r\nHost: graz.example\r\n");
    while text.len() < length {
        text.push_str("a: b\r\n");
    }
    text.into_bytes()
}
