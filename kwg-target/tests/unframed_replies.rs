//! Replies without length: the body is never taken for a whole answer, and the status counts nevertheless.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use async_io::block_on;
use kwg_clock::ClockHandle;
use kwg_decide::PendingClaim;
use kwg_flow::{DispatchOrder, ResumeOrder, TargetEvent};
use kwg_model::{
    AccountName, ByteChunk, ClaimId, ClaimVerdict, HomeAddress, InstanceName, PoolKind, PoolName,
    TargetName, TicketKey, VersionName,
};
use kwg_target::{TargetClient, TargetOptions};
use kwg_telemetry::HybridClock;

/// Serves a reply without length on one connection, then closes it.
fn serve_once(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller connects");
        let read = stream.read(&mut [0; 4_096]).expect("a request comes");
        assert!(read > 0);
        let reply = format!("HTTP/1.1 {status}\r\n\r\na part of the answer");
        stream.write_all(reply.as_bytes()).expect("the caller reads");
    });
    address
}

fn key() -> TicketKey {
    let instance = InstanceName::new("r1").expect("valid");
    TicketKey { home: HomeAddress { instance, incarnation: 1, shard: 0 }, sequence: 1 }
}

fn client() -> TargetClient {
    TargetClient::new(TargetOptions::default(), ClockHandle::system(), HybridClock::default())
}

/// Dispatches a request to a target that sends this status; returns what is reported.
fn dispatch(kind: PoolKind, status: &'static str) -> Vec<TargetEvent> {
    let claim = ClaimId { claimer: key().home, attempt: 1 };
    let permit = PendingClaim::begin(key(), claim).settle(ClaimVerdict::Granted);
    let order = DispatchOrder {
        permit: permit.expect("granted"),
        account: AccountName::new("bank").expect("valid"),
        pool: PoolName::new("graz").expect("valid"),
        kind,
        target: TargetName::new("t1").expect("valid"),
        address: serve_once(status),
        version: VersionName::new("v1").expect("valid"),
        max_tokens: 10,
        body: ByteChunk::from(b"body".to_vec()),
    };
    let events = RefCell::new(Vec::new());
    block_on(client().dispatch(order, async |event| events.borrow_mut().push(event)));
    events.into_inner()
}

/// Resumes a stream at a target that sends this status; returns what is reported.
fn resume(status: &'static str) -> Vec<TargetEvent> {
    let order = ResumeOrder {
        key: key(),
        pool: PoolName::new("graz").expect("valid"),
        target: TargetName::new("t1").expect("valid"),
        address: serve_once(status),
        offset: 0,
    };
    let events = RefCell::new(Vec::new());
    block_on(client().resume(order, async |event| events.borrow_mut().push(event)));
    events.into_inner()
}

#[test]
fn an_answer_without_length_is_cut() {
    for kind in [PoolKind::Service, PoolKind::Engine] {
        let events = dispatch(kind, "200 OK");
        assert!(matches!(events[..], [TargetEvent::Cut]), "{kind:?}: {events:?}");
    }
    let events = resume("200 OK");
    assert!(matches!(events[..], [TargetEvent::Cut]), "{events:?}");
}

#[test]
fn a_failure_without_length_is_a_failure() {
    let status = "500 Internal Server Error";
    for kind in [PoolKind::Service, PoolKind::Engine] {
        let events = dispatch(kind, status);
        assert!(matches!(events[..], [TargetEvent::Failed]), "{kind:?}: {events:?}");
    }
    let events = resume(status);
    assert!(matches!(events[..], [TargetEvent::Failed]), "{events:?}");
}

#[test]
fn a_missing_stream_is_reported_without_length() {
    let events = resume("404 Not Found");
    assert!(matches!(events[..], [TargetEvent::Missing]), "{events:?}");
}
