//! Crowds that do not read their answers, send requests ahead or close one direction: the gateway must
//! stay within its memory and descriptors and must answer an ordinary request.

mod support;

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use kwg_standin::RunnerMode;
use support::crowd::{CROWD, Crowd, CrowdSite, DESCRIPTOR_LIMITS, MEMORY_LIMITS, head};
use support::wait_until;

/// Length of a long answer, in bytes: more than the kernel's buffers hold at the limits of the gateway.
const ANSWER_BYTES: usize = 400_000;
/// Number of callers that read long answers slowly.
const SLOW_READERS: usize = 60;

fn get(number: usize) -> Vec<u8> {
    head("/scan/a", number, "Content-Length: 0\r\n").into_bytes()
}

#[test]
fn answers_that_are_not_read_are_bounded() {
    let site = CrowdSite::start("crowd-unread", MEMORY_LIMITS, 65_536);
    let set = |mode: RunnerMode| site.fleet.runners.iter().for_each(|runner| runner.set_mode(mode));
    set(RunnerMode::LongAnswer(ANSWER_BYTES));
    let mut crowd = Crowd::send(site.fleet.gateway.front, SLOW_READERS, get);
    for round in 0..4 {
        thread::sleep(Duration::from_millis(300));
        crowd.read_each();
        site.assert_bounded(&format!("slow readers, round {round}"));
    }
    set(RunnerMode::Answer);
    site.assert_sound("slow readers, beside the crowd");
    drop(crowd);
    site.assert_sound("slow readers, after the crowd");
}

#[test]
fn requests_sent_ahead_are_bounded() {
    let site = CrowdSite::start("crowd-ahead", MEMORY_LIMITS, 65_536);
    site.play("requests sent ahead", |number| get(number).repeat(400));
}

#[test]
fn requests_sent_ahead_of_a_running_one_are_bounded() {
    let site = CrowdSite::start("crowd-ahead-running", MEMORY_LIMITS, 65_536);
    let hang = |number| {
        let first = head("/open/a", number, "Content-Length: 0\r\n");
        [first.into_bytes(), get(number).repeat(400)].concat()
    };
    let slow = RunnerMode::SlowAnswer(1_500);
    site.fleet.runners.iter().for_each(|runner| runner.set_mode(slow));
    let crowd = Crowd::send(site.fleet.gateway.front, 200, hang);
    site.assert_bounded("requests sent ahead of a running one");
    site.fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Answer));
    thread::sleep(Duration::from_millis(3_200));
    drop(crowd);
    site.assert_sound("after the crowd");
}

#[test]
fn a_caller_that_leaves_behind_many_requests_sent_ahead_is_noticed() {
    let site = CrowdSite::start("crowd-left", MEMORY_LIMITS, 65_536);
    site.fleet.runners.iter().for_each(|runner| runner.set_mode(RunnerMode::Hang));
    // More than is read ahead, and less than the window: the end of the connection arrives behind it.
    let call = |number| {
        let first = head("/open/a", number, "Content-Length: 0\r\n");
        [first.into_bytes(), get(number).repeat(200)].concat()
    };
    let before = site.fleet.runs();
    let crowd = Crowd::send(site.fleet.gateway.front, 4, call);
    wait_until("the first requests run", || site.fleet.runs() == before + 4);
    drop(crowd);
    let abandoned = || site.fleet.runners.iter().map(|runner| runner.abandoned()).sum::<u32>();
    wait_until("the runners are told", || abandoned() == 4);
}

#[test]
fn whole_requests_that_wait_for_a_target_are_bounded() {
    let site = CrowdSite::start("crowd-waiting", MEMORY_LIMITS, 72_000);
    let set = |mode: RunnerMode| site.fleet.runners.iter().for_each(|runner| runner.set_mode(mode));
    set(RunnerMode::SlowAnswer(2_000));
    let whole = |number| {
        let head = head("/scan/a", number, "Content-Length: 70000\r\n");
        [head.into_bytes(), vec![b'a'; 70_000]].concat()
    };
    let crowd = Crowd::send(site.fleet.gateway.front, CROWD, whole);
    site.assert_bounded("waiting requests");
    thread::sleep(Duration::from_millis(600));
    site.assert_bounded("waiting requests, a while later");
    set(RunnerMode::Answer);
    drop(crowd);
    site.assert_sound("waiting requests, after the crowd");
}

#[test]
fn half_closed_connections_do_not_keep_others_out() {
    let site = CrowdSite::start("crowd-half", DESCRIPTOR_LIMITS, 65_536);
    for bytes in [&b""[..], b"GET /scan/a HTTP/1.1\r\nHo", &get(1)] {
        let crowd = Crowd::send(site.fleet.gateway.front, CROWD, |_| bytes.to_vec());
        for stream in &crowd.0 {
            // The gateway may have closed it.
            drop(stream.shutdown(Shutdown::Write));
        }
        site.assert_sound("half-closed, beside the crowd");
        drop(crowd);
        site.assert_sound("half-closed, after the crowd");
    }
}
