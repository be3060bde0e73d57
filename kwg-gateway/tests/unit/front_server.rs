//! Guards against a stop that ends before connections that have just been accepted are served, and
//! against a burst of connections that exceeds their limit.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use kwg_clock::ClockHandle;
use kwg_gate::{CallerGuard, CallerOptions, GateCore, GateOptions};

use super::{FrontConnection, FrontServer};
use crate::gateway_metrics::GatewayMetrics;
use crate::traffic::traffic_state::TrafficState;

/// Accepts the connections of `callers` callers at a stop, before any of them is served; returns
/// the count of open connections.
fn accept_at_stop(callers: usize, max_connections: usize) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let _callers: Vec<TcpStream> =
        (0..callers).map(|_| TcpStream::connect(address).expect("listening")).collect();
    let core = GateCore::new(GateOptions::default());
    let (clock, metrics) = (ClockHandle::system(), GatewayMetrics::new());
    let options = CallerOptions { connections: max_connections, ..CallerOptions::default() };
    let state = TrafficState::new(core, clock, metrics, options);
    state.close_idle();
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::new(listener).expect("registered");
    let server = FrontServer { state: Rc::clone(&state), listener };
    // The executor does not run, so the tasks of the connections have not begun.
    block_on(server.run(Rc::clone(&executor)));
    state.callers.borrow().open_count()
}

#[test]
fn a_stop_waits_for_connections_that_have_just_been_accepted() {
    assert_eq!(accept_at_stop(3, 10), 3);
}

#[test]
fn a_burst_of_connections_does_not_exceed_the_limit() {
    assert_eq!(accept_at_stop(5, 2), 2);
}

#[test]
fn the_task_of_a_connection_takes_no_more_memory_than_is_counted_for_it() {
    let core = GateCore::new(GateOptions::default());
    let (clock, metrics) = (ClockHandle::system(), GatewayMetrics::new());
    let options = CallerOptions::default();
    let state = TrafficState::new(core, clock, metrics, options);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let _caller = TcpStream::connect(address).expect("listening");
    let (stream, _) = listener.accept().expect("a connection");
    let stream = Async::new(stream).expect("registered");
    let guard = CallerGuard::accept(&state.callers, state.clock.now()).expect("room");
    let task = FrontConnection::new(&state, guard).serve(stream);
    let size = size_of_val(&task);
    // The rest is for the kernel's socket and the entries of executor and poller.
    assert!(size < options.connection_bytes / 2, "{size}");
}
