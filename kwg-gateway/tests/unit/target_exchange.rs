//! Guards against a request that was never sent being taken for one that may have run, and against an answer that was
//! reset being taken for a whole one.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use futures_lite::future::poll_once;
use kwg_clock::ClockHandle;
use kwg_gate::{AttemptEvidence, CallerOptions, GateCore, GateOptions, TargetKey};

use super::{TargetExchange, TargetLink};
use crate::gateway_metrics::GatewayMetrics;
use crate::socket::ByteSocket;
use crate::traffic::attempt_guard::AttemptGuard;
use crate::traffic::carried_requests::CarriedRequests;
use crate::traffic::traffic_state::TrafficState;

/// Length of a request that no socket buffer holds, in bytes.
const LONG_REQUEST: usize = 32 << 20;

fn new_state() -> Rc<TrafficState> {
    let core = GateCore::new(GateOptions::default());
    let (clock, metrics) = (ClockHandle::system(), GatewayMetrics::new());
    TrafficState::new(core, clock, metrics, CallerOptions::default())
}

/// Opens a connection to a target; returns the target's end, too.
async fn open_link(state: &Rc<TrafficState>) -> (TargetLink, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let socket = ByteSocket::connect(address, Duration::from_secs(1)).await.expect("listening");
    let (peer, _) = listener.accept().expect("a connection");
    let target = TargetKey::default();
    let guard = AttemptGuard::new(state, target, 0);
    let (carried, since) = (CarriedRequests::default(), state.clock.now());
    (TargetLink { target, guard, socket, carried, is_reused: false, since }, peer)
}

/// Opens a connection and waits until the target has closed it.
async fn open_closed(state: &Rc<TrafficState>) -> TargetLink {
    let (link, peer) = open_link(state).await;
    drop(peer);
    while link.socket.is_quiet() {
        Timer::after(Duration::from_millis(1)).await;
    }
    link
}

#[test]
fn a_request_whose_target_closed_the_connection_before_it_is_reported_as_not_sent() {
    let state = new_state();
    let read = block_on(async {
        let link = open_closed(&state).await;
        let request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
        TargetExchange::new(&state, "r1", link, request).read_head().await
    });
    assert_eq!(read.expect_err("closed"), AttemptEvidence::NotSent);
}

/// Reads an answer without length from a target that closes the connection with `end` before the
/// request has been written. A write fails before the end of the answer is read.
fn read_after_failed_write(end: impl FnOnce(TcpStream)) -> Result<Vec<u8>, AttemptEvidence> {
    let state = new_state();
    block_on(async {
        let (link, mut peer) = open_link(&state).await;
        let mut request = b"POST /a HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
        request.resize(LONG_REQUEST, b'b');
        let mut exchange = TargetExchange::new(&state, "r1", link, request);
        poll_once(exchange.split().1.write_rest::<()>()).await;
        let reply = b"HTTP/1.1 200 OK\r\nX-Knapweedglade-Server-Seal: s\r\n\r\npart";
        peer.write_all(reply).expect("connected");
        exchange.read_head().await.expect("a head");
        end(peer);
        exchange.link.socket.split().0.wait_closed(0, |_| {}).await;
        let write = poll_once(exchange.split().1.write_rest::<()>()).await;
        assert!(write.is_none(), "a failed write does not end the attempt");
        exchange.read_whole().await?;
        Ok(exchange.take_whole().bytes().to_vec())
    })
}

#[test]
fn an_answer_without_length_is_cut_if_a_write_has_met_the_reset() {
    // Closing a socket with unread bytes resets the connection.
    let read = read_after_failed_write(drop);
    assert_eq!(read.expect_err("reset"), AttemptEvidence::Cut);
}

#[test]
fn an_answer_without_length_that_ended_before_the_reset_is_whole() {
    let read = read_after_failed_write(|peer| peer.shutdown(Shutdown::Write).expect("connected"));
    assert_eq!(read.expect("an orderly end"), b"part");
}
