//! Slow callers within the limits: they must be served, in calm and beside a crowd's remains.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use kwg_standin::RunnerMode;
use support::crowd::{CrowdSite, MEMORY_LIMITS, head};
use support::{read_answer, request, wait_begun};

fn connect(site: &CrowdSite) -> TcpStream {
    let stream = TcpStream::connect(site.fleet.gateway.front).expect("listening");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a valid timeout");
    stream
}

#[test]
fn the_largest_legal_body_over_a_slow_link_is_served() {
    let site = CrowdSite::start("sound-body", MEMORY_LIMITS, 4 << 20);
    let mut stream = connect(&site);
    let head = head("/scan/a", 1, &format!("Content-Length: {}\r\n", 4 << 20));
    stream.write_all(head.as_bytes()).expect("open");
    // In parts, with pauses as of a link that loses packets.
    for part in vec![b'a'; 4 << 20].chunks(1 << 20) {
        stream.write_all(part).expect("open");
        thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(read_answer(&mut stream).status, 200, "0: no answer");
}

#[test]
fn a_small_body_that_comes_slowly_is_served() {
    let site = CrowdSite::start("sound-slow", MEMORY_LIMITS, 65_536);
    let mut stream = connect(&site);
    stream.write_all(head("/scan/a", 1, "Content-Length: 9\r\n").as_bytes()).expect("open");
    for _ in 0..9 {
        thread::sleep(Duration::from_millis(400));
        stream.write_all(b"a").expect("open");
    }
    assert_eq!(read_answer(&mut stream).status, 200, "0: no answer");
}

#[test]
fn a_connection_that_was_idle_for_four_fifths_of_the_limit_is_reused() {
    let site = CrowdSite::start("sound-idle", MEMORY_LIMITS, 65_536);
    site.fleet.apply_config(|config| {
        config["version"] = 3.into();
        config["limits"]["idleTimeoutMs"] = 4_000.into();
        config["tenants"][0]["apiKeys"] = serde_json::json!(["key-1", "key-3", "key-4"]);
    });
    let mut stream = connect(&site);
    for _ in 0..2 {
        let call = request("GET", "/scan/a", "idle");
        stream.write_all(call.as_bytes()).expect("open");
        assert_eq!(read_answer(&mut stream).status, 200, "0: no answer");
        thread::sleep(Duration::from_millis(3_200));
    }
    stream.write_all(request("GET", "/scan/a", "idle").as_bytes()).expect("open");
    assert_eq!(read_answer(&mut stream).status, 200, "0: no answer");
}

#[test]
fn a_reader_that_pauses_for_seconds_gets_the_whole_stream() {
    let site = CrowdSite::start("sound-stream", MEMORY_LIMITS, 65_536);
    let slow = RunnerMode::SlowStream(400);
    site.fleet.runners.iter().for_each(|runner| runner.set_mode(slow));
    let mut stream = connect(&site);
    let call = request("POST", "/stream/draft/a", "pause");
    let call = call.replace("Deadline-Ms: 3000", "Deadline-Ms: 15000");
    stream.write_all(call.as_bytes()).expect("open");
    wait_begun(&stream);
    thread::sleep(Duration::from_secs(4));
    read_answer(&mut stream).assert_whole_stream();
}

#[test]
fn a_reader_that_pauses_for_seconds_gets_the_whole_answer() {
    let site = CrowdSite::start("sound-reader", MEMORY_LIMITS, 65_536);
    let long = RunnerMode::LongAnswer(3_000_000);
    site.fleet.runners.iter().for_each(|runner| runner.set_mode(long));
    let mut stream = connect(&site);
    stream.write_all(request("GET", "/scan/a", "pause").as_bytes()).expect("open");
    let mut first = [0; 1];
    stream.read_exact(&mut first).expect("an answer begins");
    thread::sleep(Duration::from_secs(4));
    let mut rest = Vec::new();
    let mut buffer = [0; 64 << 10];
    while rest.len() < 3_000_000 {
        let count = stream.read(&mut buffer).expect("the answer goes on");
        assert_ne!(count, 0, "the answer was cut after {} bytes", rest.len());
        rest.extend_from_slice(&buffer[..count]);
    }
}
