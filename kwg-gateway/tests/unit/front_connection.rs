//! Guards against a connection that is closed as idle with a request in its socket, against callers that
//! keep a connection by a byte now and then, and against refusals that are not told.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer, block_on};
use futures_lite::AsyncReadExt;
use kwg_clock::{ClockHandle, ManualClock};
use kwg_gate::{
    CallerGuard, CallerLimits, CallerOptions, GateCore, GateOptions, RouteTable, ServiceRule,
};

use super::FrontConnection;
use crate::gateway_metrics::GatewayMetrics;
use crate::traffic::traffic_state::TrafficState;

/// Longer than the idle limit of connections.
const LONG_IDLE: Duration = Duration::from_secs(3_600);
/// Time that the connection's task gets to read what has been sent.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// A connection that is served in virtual time.
struct Site {
    clock: Arc<ManualClock>,
    state: Rc<TrafficState>,
    caller: TcpStream,
}

impl Site {
    fn new(options: CallerOptions) -> (Self, TcpStream) {
        let clock = ManualClock::new();
        let core = GateCore::new(GateOptions::default());
        let (handle, metrics) = (ClockHandle::manual(&clock), GatewayMetrics::new());
        let state = TrafficState::new(core, handle, metrics, options);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let caller = TcpStream::connect(address).expect("listening");
        let (stream, _) = listener.accept().expect("a connection");
        (Self { clock, state, caller }, stream)
    }

    fn serve<'a>(&self, executor: &LocalExecutor<'a>, stream: TcpStream) -> Task<()> {
        let stream = Async::new(stream).expect("registered");
        let guard = CallerGuard::accept(&self.state.callers, self.state.clock.now());
        let connection = FrontConnection::new(&self.state, guard.expect("room"));
        executor.spawn(connection.serve(stream))
    }

    /// Sends bytes and lets the connection's task read them.
    async fn send(&mut self, bytes: &[u8]) {
        self.caller.write_all(bytes).expect("it fits into the window");
        Timer::after(READ_PAUSE).await;
    }

    /// Reads what the caller has received until the connection is closed.
    async fn received(self) -> String {
        let mut caller = Async::new(self.caller).expect("registered");
        let mut received = Vec::new();
        match caller.read_to_end(&mut received).await {
            Ok(_) => String::from_utf8_lossy(&received).into_owned(),
            Err(error) => format!("{error}"),
        }
    }
}

fn head(length: usize, fields: &str) -> String {
    format!(
        "POST /a HTTP/1.1\r\nHost: h\r\nX-Knapweedglade-Request-Id: r1\r\n\
         Connection: close\r\n{fields}Content-Length: {length}\r\n\r\n"
    )
}

/// Sends a request with a body of `length` bytes at the moment at which the connection has been idle for
/// too long; returns what the caller receives.
fn call_at_idle_limit(length: usize) -> String {
    let (mut site, stream) = Site::new(CallerOptions::default());
    let call = [head(length, "").into_bytes(), vec![b'a'; length]].concat();
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        Timer::after(READ_PAUSE).await;
        site.caller.write_all(&call).expect("it fits into the window");
        site.clock.advance(LONG_IDLE);
        let received = site.received().await;
        serving.await;
        received
    }))
}

#[test]
fn a_request_that_arrives_at_the_idle_limit_gets_an_answer_however_long_it_is() {
    // One that is read at once, and one that is read in several parts.
    for length in [4, 40_000] {
        let received = call_at_idle_limit(length);
        assert!(received.starts_with("HTTP/1.1 503 "), "{length}: {received:?}");
    }
}

#[test]
fn a_body_that_trickles_is_refused_after_the_window_of_the_floor() {
    let (mut site, stream) = Site::new(CallerOptions::default());
    let executor = LocalExecutor::new();
    let received = block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        site.send(head(9_000, "").as_bytes()).await;
        for _ in 0..9 {
            site.clock.advance(Duration::from_secs(1));
            site.send(b"a").await;
            assert_eq!(site.state.callers.borrow().open_count(), 1, "before the window ends");
        }
        site.clock.advance(Duration::from_secs(1));
        let received = site.received().await;
        serving.await;
        received
    }));
    assert!(received.starts_with("HTTP/1.1 408 "), "{received:?}");
}

#[test]
fn a_slow_body_above_the_floor_is_read_to_its_end() {
    let (mut site, stream) = Site::new(CallerOptions::default());
    let executor = LocalExecutor::new();
    let received = block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        site.send(head(12_000, "").as_bytes()).await;
        for _ in 0..40 {
            site.clock.advance(Duration::from_secs(1));
            site.send(&[b'a'; 300]).await;
        }
        let received = site.received().await;
        serving.await;
        received
    }));
    // There is no configuration: the whole request was read, and no route is known.
    assert!(
        received.starts_with("HTTP/1.1 503 ") && received.contains("Retry-After"),
        "{received:?}"
    );
}

#[test]
fn a_caller_whose_partial_request_makes_room_is_told_that_it_has_not_run() {
    let options = CallerOptions { connections: 1, ..CallerOptions::default() };
    let (mut site, stream) = Site::new(options);
    let executor = LocalExecutor::new();
    let received = block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        site.send(head(9_000, "").as_bytes()).await;
        site.clock.advance(Duration::from_secs(3));
        let now = site.state.clock.now();
        assert!(site.state.callers.borrow_mut().make_place(now), "it has stalled");
        serving.await;
        assert!(site.state.callers.borrow().has_place());
        site.received().await
    }));
    assert!(received.starts_with("HTTP/1.1 503 "), "{received:?}");
}

#[test]
fn a_caller_that_waits_with_a_body_that_no_route_serves_is_refused_at_once() {
    let (mut site, stream) = Site::new(CallerOptions::default());
    let services: [ServiceRule; 0] = [];
    let table = RouteTable::new(1, [], services, [], CallerLimits::default());
    assert!(site.state.core.borrow_mut().set_table(&Arc::new(table)));
    let executor = LocalExecutor::new();
    let received = block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        site.send(head(9_000, "Expect: 100-continue\r\n").as_bytes()).await;
        serving.await;
        site.received().await
    }));
    assert!(received.starts_with("HTTP/1.1 404 "), "{received:?}");
}

#[test]
fn an_answer_that_nobody_reads_is_given_up_after_the_window_of_the_floor() {
    let (mut site, stream) = Site::new(CallerOptions::default());
    rustix::net::sockopt::set_socket_send_buffer_size(&stream, 4_096).expect("a socket");
    rustix::net::sockopt::set_socket_recv_buffer_size(&site.caller, 4_096).expect("a socket");
    site.caller.set_nonblocking(true).expect("a socket");
    let executor = LocalExecutor::new();
    block_on(executor.run(async {
        let serving = site.serve(&executor, stream);
        // Refusals of requests that are sent ahead fill the buffers of both sides.
        let calls = head(0, "").replace("Connection: close\r\n", "").repeat(2_000);
        let (mut sent, mut is_full) = (0, false);
        while !is_full {
            match site.caller.write(&calls.as_bytes()[sent..]) {
                Ok(count) => sent = (sent + count) % calls.len(),
                Err(_) => {
                    // Full only if the connection's task does not make room again.
                    Timer::after(READ_PAUSE).await;
                    is_full = site.caller.write(&calls.as_bytes()[sent..][..1]).is_err();
                    sent = (sent + usize::from(!is_full)) % calls.len();
                }
            }
        }
        assert_eq!(site.state.callers.borrow().open_count(), 1);
        site.clock.advance(Duration::from_secs(11));
        serving.await;
    }));
    assert_eq!(site.state.callers.borrow().open_count(), 0);
}
