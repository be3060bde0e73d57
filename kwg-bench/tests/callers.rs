//! Invalid, slow and malformed requests over real sockets: each gets the right status and reason
//! or is disconnected, and other callers are still served.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use async_io::block_on;
use kwg_bench::{FleetHarness, FleetPlan};
use kwg_standin::{CallPlan, CallResult};

fn bin() -> PathBuf {
    FleetHarness::build_binaries(env!("CARGO_BIN_EXE_kwg-bench"))
}

/// Sends bytes, and reads until the router closes the connection or completes its response. A
/// response counts as complete once it ends in the `}` of a JSON object or in the last chunk.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a valid timeout");
    stream.write_all(bytes).expect("the router reads");
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer) {
        text.extend_from_slice(&buffer[..count]);
        let is_complete = text.ends_with(b"}") || text.ends_with(b"0\r\n\r\n");
        if count == 0 || is_complete {
            break;
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn request(key: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
    .into_bytes()
}

fn plan(body: &str) -> CallPlan {
    CallPlan {
        route: "patches".to_owned(),
        body: body.as_bytes().to_vec(),
        max_tokens: 5,
        deadline_ms: None,
        non_idempotent: false,
        is_engine: true,
    }
}

#[test]
fn every_invalid_request_gets_its_status_and_reason() {
    let harness = FleetHarness::start(&bin(), &FleetPlan { routers: 1, ..FleetPlan::default() });
    let (front, key) = (harness.fronts()[0], harness.account_key());
    let path = "/v1/requests/patches";
    let long = "x".repeat((1 << 20) + 1);
    let cases: Vec<(Vec<u8>, &str, &str)> = vec![
        (request("wrong", path, "", "b"), "401", "unauthorized"),
        (request(key, "/v1/requests/none", "", "b"), "404", "unknown-route"),
        (request(key, "/nowhere", "", "b"), "404", "no-such-path"),
        (request(key, path, "kwg-ticket: forged\r\n", "b"), "403", "bad-ticket"),
        (request(key, path, "kwg-tier: 9\r\n", "b"), "400", "bad-header"),
        (request(key, path, "kwg-resume: forged\r\n", "b"), "400", "bad-header"),
        (request(key, path, "kwg-non-idempotent: true\r\n", "b"), "400", "ticket-required"),
        (request(key, path, "", &long), "413", "body-too-long"),
        (request(key, "/v1/tickets?count=0", "", ""), "400", "bad-path"),
        (request(key, "/v1/tickets?count=1&non-idempotent=true", "", ""), "503", "no-other-domain"),
    ];
    for (bytes, status, reason) in cases {
        let reply = exchange(front, &bytes);
        assert!(reply.starts_with(&format!("HTTP/1.1 {status} ")), "{reason}: {reply}");
        assert!(reply.contains(&format!("kwg-reason: {reason}\r\n")), "{reason}: {reply}");
        assert!(reply.contains("kwg-outcome: rejected\r\n"), "{reason}: {reply}");
    }
    let report = block_on(harness.caller().call(&plan("still well"), true));
    assert_eq!(report.result, CallResult::Answered);
}

#[test]
fn slow_and_malformed_callers_are_disconnected_and_others_are_served() {
    let harness = FleetHarness::start(&bin(), &FleetPlan { routers: 1, ..FleetPlan::default() });
    let front = harness.fronts()[0];
    let mut idle: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = TcpStream::connect(front).expect("the router listens");
            stream.write_all(b"POST /v1/requests/patches HTTP/1.1\r\n").expect("it reads");
            stream
        })
        .collect();
    assert!(
        exchange(front, b"\x00\xffgarbage\r\n\r\n").is_empty(),
        "garbage closes the connection without a response"
    );
    let report = block_on(harness.caller().call(&plan("well"), true));
    assert_eq!(report.result, CallResult::Answered);
    for stream in &mut idle {
        stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a valid timeout");
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest));
        assert!(
            rest.is_empty(),
            "a caller that sends no complete head is disconnected without a response"
        );
    }
    // A body that ends before its content length.
    let bytes = request(harness.account_key(), "/v1/requests/patches", "", "abc");
    let mut stream = TcpStream::connect(front).expect("the router listens");
    stream.write_all(&bytes[..bytes.len() - 2]).expect("it reads");
    stream.shutdown(std::net::Shutdown::Write).expect("open");
    let mut reply = String::new();
    drop(stream.read_to_string(&mut reply));
    assert!(reply.contains("kwg-reason: bad-body"), "{reply}");
}
