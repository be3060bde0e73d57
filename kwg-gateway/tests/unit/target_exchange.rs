//! Guards against a request that was never sent being taken for one that may have run.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Timer, block_on};
use kwg_clock::ClockHandle;
use kwg_gate::{AttemptEvidence, CallerOptions, GateCore, GateOptions, TargetKey};

use super::{TargetExchange, TargetLink};
use crate::gateway_metrics::GatewayMetrics;
use crate::socket::ByteSocket;
use crate::traffic::attempt_guard::AttemptGuard;
use crate::traffic::carried_requests::CarriedRequests;
use crate::traffic::traffic_state::TrafficState;

/// Opens a connection and waits until the target has closed it.
async fn open_closed(state: &Rc<TrafficState>) -> TargetLink {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("bound");
    let socket = ByteSocket::connect(address, Duration::from_secs(1)).await.expect("listening");
    drop(listener.accept().expect("a connection"));
    while socket.is_quiet() {
        Timer::after(Duration::from_millis(1)).await;
    }
    let target = TargetKey::default();
    let guard = AttemptGuard::new(state, target, 0);
    let (carried, since) = (CarriedRequests::default(), state.clock.now());
    TargetLink { target, guard, socket, carried, is_reused: false, since }
}

#[test]
fn a_request_whose_target_closed_the_connection_before_it_is_reported_as_not_sent() {
    let core = GateCore::new(GateOptions::default());
    let (clock, metrics) = (ClockHandle::system(), GatewayMetrics::new());
    let state = TrafficState::new(core, clock, metrics, CallerOptions::default());
    let read = block_on(async {
        let link = open_closed(&state).await;
        let request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
        TargetExchange::new(&state, "r1", link, request).read_head().await
    });
    assert_eq!(read.expect_err("closed"), AttemptEvidence::NotSent);
}
