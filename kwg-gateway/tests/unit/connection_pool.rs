//! Guards against a reply that a target repeats being taken for the reply to another run of the same request.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::block_on;
use kwg_gate::TargetKey;
use kwg_model::MonoTime;

use super::{CarriedRequests, ConnectionPool};
use crate::socket::ByteSocket;

const NOW: MonoTime = MonoTime::from_millis(1_000);

/// An open connection that has carried these requests, and its other end.
fn connection(requests: &[&str]) -> ((ByteSocket, CarriedRequests), TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let socket = block_on(ByteSocket::connect(address, Duration::from_secs(1))).expect("listening");
    let mut carried = CarriedRequests::default();
    requests.iter().for_each(|id| carried.record(id));
    ((socket, carried), listener.accept().expect("a connection").0)
}

#[test]
fn no_connection_carries_two_attempts_of_the_same_request() {
    let (target, mut pool) = (TargetKey::default(), ConnectionPool::default());
    let (used, _used_end) = connection(&["r1", "r2", "r3"]);
    pool.put(target, used, None, NOW);
    for (id, is_retryable) in [("r1", true), ("r2", false), ("r3", true)] {
        assert!(pool.take(target, id, is_retryable, NOW).is_none(), "{id}");
    }
    assert_eq!(pool.count(target), 1, "others may use it");
    let (other, _other_end) = connection(&["r4"]);
    pool.put(target, other, None, NOW);
    let (_, carried) = pool.take(target, "r4", true, NOW).expect("the other connection");
    assert!(carried.contains("r1") && !carried.contains("r4"));
    let (_, carried) = pool.take(target, "r1", false, NOW).expect("the next one");
    assert!(carried.contains("r4"));
}

#[test]
fn a_connection_is_closed_after_many_requests() {
    let (target, mut pool) = (TargetKey::default(), ConnectionPool::default());
    let ids: Vec<String> = (0..128).map(|number| format!("r{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for (count, is_kept) in [(127, 1), (128, 0)] {
        let (used, _end) = connection(&ids[..count]);
        pool.put(target, used, None, NOW);
        assert_eq!(pool.count(target), is_kept, "after {count} requests");
        pool.remove_target(target);
    }
}
