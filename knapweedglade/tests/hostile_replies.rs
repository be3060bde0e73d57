//! Replies without end, and streams that are slow or stall: what a gateway process does with them,
//! and what its callers get.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use kwg_standin::{EndlessReply, RunnerMode};
use support::{Answer, MEMORY_MB, TestFleet, call_at, request, wait_until};

/// Number of callers at the same time.
const CALLERS: usize = 60;
/// Time beyond the request's deadline within which its final answer must come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_500);

fn hurried(method: &str, path: &str, id: &str) -> String {
    let deadline = format!("Deadline-Ms: {}", DEADLINE.as_millis());
    request(method, path, id).replace("Deadline-Ms: 3000", &deadline)
}

/// Calls from `CALLERS` threads at the same time; returns the answers with the time that each took.
fn call_at_once(fleet: &TestFleet, path: &str, ids: &str) -> Vec<(Answer, Duration)> {
    let front = fleet.gateway.front;
    let call = |number: usize| {
        let text = hurried("POST", path, &format!("{ids}{number}"));
        thread::spawn(move || {
            let started = Instant::now();
            (call_at(front, text.as_bytes()), started.elapsed())
        })
    };
    let calls: Vec<_> = (0..CALLERS).map(call).collect();
    calls.into_iter().map(|call| call.join().expect("no panic")).collect()
}

#[test]
fn replies_without_end_are_bounded_in_time_and_memory() {
    let fleet = TestFleet::start("endless", 2);
    for part in EndlessReply::ALL {
        fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Endless(part)));
        let path = if part == EndlessReply::Event { "/stream/digest/a" } else { "/open/a" };
        let ids = format!("{part:?}-");
        let answers = call_at_once(&fleet, path, &ids);
        let resident = fleet.gateway.resident_bytes();
        assert!(resident < MEMORY_MB << 20, "{part:?}: {resident} bytes");
        let received: Vec<String> = fleet
            .runners
            .iter()
            .flat_map(|runner| runner.received())
            .filter_map(|call| {
                call.head.headers.get("X-Knapweedglade-Request-Id").map(str::to_owned)
            })
            .collect();
        for (number, (answer, took)) in answers.iter().enumerate() {
            assert!(*took < DEADLINE + ANSWER_SLACK, "{part:?}: {took:?}");
            assert!(!(answer.status == 200 && answer.is_complete), "{part:?}: a false success");
            // A caller is told that its request has not run only if no runner has received it, or
            // the runner has said so.
            let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
            let may_have_run = received.contains(&format!("{ids}{number}"));
            let is_true = !may_have_run || part == EndlessReply::DeclinedBody;
            assert!(is_true || !says_not_run, "{part:?}: {} after a run", answer.status);
        }
        wait_until("the runners are disconnected", || fleet.gateway.ready_status() == 200);
    }
    fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Answer));
    wait_until("requests are served again", || {
        fleet.call(&request("GET", "/scan/a", "r")).status == 200
    });
}

#[test]
fn answers_without_end_of_many_runners_at_once_are_bounded_in_memory() {
    let fleet = TestFleet::start("endless-many", 12);
    for part in [EndlessReply::Body, EndlessReply::UnframedBody, EndlessReply::LongBody] {
        fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Endless(part)));
        let answers = call_at_once(&fleet, "/scan/a", &format!("{part:?}-"));
        let resident = fleet.gateway.resident_bytes();
        assert!(resident < MEMORY_MB << 20, "{part:?}: {resident} bytes");
        for (answer, _) in &answers {
            assert!(!(answer.status == 200 && answer.is_complete), "{part:?}: a false success");
        }
    }
}

#[test]
fn a_declined_request_does_not_wait_for_the_end_of_the_reply() {
    let fleet = TestFleet::start("declined", 1);
    fleet.runners[0].set_mode(RunnerMode::Endless(EndlessReply::DeclinedBody));
    let started = Instant::now();
    let answer = fleet.call(&request("POST", "/open/a", "r1"));
    assert_eq!(answer.status, 503);
    assert!(answer.field("Retry-After").is_some());
    assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
}

#[test]
fn a_stalled_stream_that_sends_bytes_is_resumed_at_another_runner() {
    let fleet = TestFleet::start("trickle", 2);
    fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::TrickleStream));
    // The first runner stalls after two events, and the second one after the two that follow. Too little
    // time is left then to return to the first one.
    let text = request("POST", "/stream/draft/a", "r1");
    let started = Instant::now();
    let answer = fleet.call(&text.replace("Deadline-Ms: 3000", "Deadline-Ms: 2600"));
    assert!(answer.text().contains("id: 4\n"), "{}", answer.text());
    assert!(!answer.is_complete);
    assert_eq!(fleet.runs(), 2);
    let deadline = Duration::from_millis(2_600);
    assert!(started.elapsed() < deadline + ANSWER_SLACK, "it ends at the deadline");
}

#[test]
fn a_slow_stream_that_cannot_be_resumed_elsewhere_is_not_cut() {
    let fleet = TestFleet::start("slow", 1);
    fleet.runners[0].set_mode(RunnerMode::SlowStream(1_400));
    let call = |path: &str| {
        let text = request("POST", path, "r1").replace("Deadline-Ms: 3000", "Deadline-Ms: 9000");
        fleet.call(&text)
    };
    let mut config = kwg_standin::SampleFleet::config(9);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = 9_000.into();
    }
    fleet.store.put("op", "config", Some(config.to_string().as_bytes()));
    thread::sleep(Duration::from_millis(300));
    for path in ["/stream/draft/a", "/stream/digest/a"] {
        let answer = call(path);
        assert!(answer.is_complete, "{path}: {}", answer.text());
    }
    assert_eq!(fleet.runs(), 2, "one run for each request");
}

#[test]
fn events_with_carriage_returns_are_forwarded_as_they_arrive() {
    let fleet = TestFleet::start("crlf", 1);
    fleet.runners[0].set_mode(RunnerMode::CrLfStream);
    let mut stream = TcpStream::connect(fleet.gateway.front).expect("listening");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a valid timeout");
    let started = Instant::now();
    stream.write_all(request("POST", "/stream/digest/a", "r1").as_bytes()).expect("connected");
    let (mut received, mut buffer) = (Vec::new(), [0; 4_096]);
    while !received.windows(5).any(|window| window == b"id: 3") {
        let count = stream.read(&mut buffer).expect("an event");
        assert!(count > 0, "the stream ended");
        received.extend_from_slice(&buffer[..count]);
    }
    assert!(started.elapsed() < Duration::from_millis(900), "{:?}", started.elapsed());
}

#[test]
fn a_runner_that_accepts_no_connection_costs_little_time() {
    let fleet = TestFleet::start("dark", 1);
    // A listener with a full backlog: the kernel drops further connection attempts, as a network
    // does in front of an instance without power.
    let dark = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    rustix::net::listen(&dark, 0).expect("a listener");
    let address = dark.local_addr().expect("bound");
    let _held: Vec<TcpStream> = (0..8)
        .map_while(|_| TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok())
        .collect();
    let mut entry = kwg_standin::SampleFleet::entry(&fleet.runners[0], "ready");
    entry["address"] = address.to_string().into();
    fleet.store.put("servers", "i-dark", Some(entry.to_string().as_bytes()));
    thread::sleep(Duration::from_millis(300));
    for number in 0..12 {
        let started = Instant::now();
        let answer = fleet.call(&request("POST", "/open/a", &format!("r{number}")));
        assert_eq!(answer.status, 200, "the other runner answers");
        assert!(started.elapsed() < Duration::from_millis(600), "{:?}", started.elapsed());
    }
}

#[test]
fn a_late_copy_without_an_id_is_not_sent_to_the_next_caller() {
    let fleet = TestFleet::start("copy", 1);
    fleet.runners[0].set_mode(RunnerMode::AnonymousCopy);
    for number in 0..10 {
        let answer = fleet.call(&request("POST", "/open/a", &format!("r{number}")));
        let own = format!("answer to r{number}");
        assert!(answer.status == 502 || answer.text() == own, "r{number}: {}", answer.text());
    }
}

#[test]
fn a_refusal_that_is_sent_once_more_is_not_taken_for_the_reply_to_a_run() {
    let fleet = TestFleet::start("refusal", 1);
    fleet.runners[0].set_mode(RunnerMode::RepeatRefusal);
    for (number, path) in ["/open/a", "/scan/a", "/open/b", "/scan/b"].iter().enumerate() {
        let runs = fleet.runs();
        let answer = fleet.call(&request("POST", path, &format!("r{number}")));
        let has_run = fleet.runs() > runs;
        let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
        assert!(!(has_run && says_not_run), "{path}: {} after a run", answer.status);
    }
}

#[test]
fn the_error_of_the_next_target_is_not_sent_within_a_stream() {
    for path in ["/stream/draft/a", "/stream/digest/a"] {
        let fleet = TestFleet::start("error-in-stream", 2);
        fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::FailResumed));
        let answer = fleet.call(&request("POST", path, "r1"));
        let text = answer.text();
        assert_eq!((answer.status, answer.is_complete), (200, false), "{path}: {text}");
        assert!(text.ends_with("id: 2\ndata: piece 2\n\n"), "{path}: {text}");
        assert!(!text.contains("error") && !text.contains("HTTP/1.1"), "{path}: {text}");
    }
}

#[test]
fn a_head_that_breaks_off_is_not_passed_on_as_an_answer() {
    // Within the status line, a field, and the line end after the last field.
    for length in [0, 5, 16, 30, 70, usize::MAX] {
        let fleet = TestFleet::start("cut-head", 2);
        fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::CutHead(length)));
        for (path, runs) in [("/scan/a", 2), ("/open/a", 1), ("/stream/digest/a", 1)] {
            let before = fleet.runs();
            let answer = fleet.call(&request("POST", path, "r1"));
            assert_eq!(answer.status, 502, "{path}, {length} bytes: {}", answer.text());
            assert_eq!(fleet.runs() - before, runs, "{path}, {length} bytes");
        }
    }
}
