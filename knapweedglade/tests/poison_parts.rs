//! Nine gateways stop requests that have nothing in common but a part of their prompts, which ends the runners that
//! begin to answer it, and serve the others of the same caller.

#[path = "support/runner_keeper.rs"]
mod runner_keeper;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use kwg_standin::{FatalEnd, RunnerStandin, SampleFleet};
use runner_keeper::keep_alive;
use support::{GatewayChild, call_at, request, wait_until};

const GATEWAYS: usize = 9;
const RUNNERS: usize = 8;
/// Interval of the requests.
const INTERVAL: Duration = Duration::from_millis(100);
const SPAN: Duration = Duration::from_secs(14);
/// Time after the fifth end from which requests count against the limit.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Number of requests that may be sent later.
const MAX_LATE: usize = 3;
/// Id of the part that ends the runners.
const FATAL: &str = "deadbeef";

/// A stream of its own content, with these parts.
fn stream(number: usize, parts: &str) -> String {
    let fields = format!("X-Knapweedglade-Model: m\r\nX-Knapweedglade-Prefix-Hash: {parts}\r\n");
    request("POST", &format!("/stream/digest/{number}"), &format!("r{number}"))
        .replace("Content-Length", &format!("{fields}Content-Length"))
}

/// Number of requests with the part that have reached runners.
fn runs(runners: &[RunnerStandin]) -> usize {
    let of_part = |runner: &RunnerStandin| {
        let received = runner.received();
        let parts = received
            .iter()
            .filter_map(|request| request.head.headers.get("X-Knapweedglade-Prefix-Hash"));
        parts.filter(|parts| parts.contains(FATAL)).count()
    };
    runners.iter().map(of_part).sum()
}

#[test]
fn requests_that_share_a_part_which_ends_runners_are_stopped_and_others_are_served() {
    for end in [FatalEnd::NoAnswer, FatalEnd::InBody] {
        let SampleFleet { store, runners } = SampleFleet::start(RUNNERS).expect("ports are free");
        let gateways: Vec<GatewayChild> = (0..GATEWAYS)
            .map(|number| GatewayChild::start(&format!("p{number}"), &store))
            .collect();
        gateways.iter().for_each(GatewayChild::wait_ready);
        runners.iter().for_each(|runner| runner.set_fatal(FATAL, end));
        let is_over = Arc::new(AtomicBool::new(false));
        let keeper = {
            let (store, runners, is_over) = (store.clone(), runners.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || keep_alive(&store, &runners, &is_over))
        };
        let started = Instant::now();
        let (mut fifth, mut late, mut refused) = (None, 0, 0);
        let (mut sent, mut served) = (0, 0);
        for (number, gateway) in gateways.iter().cycle().enumerate() {
            if started.elapsed() > SPAN {
                break;
            }
            // All share the first part; each fifth one has the part that ends runners.
            let before = runs(&runners);
            if number % 5 == 4 {
                let call = stream(number, &format!("5c1e07a2:60,{FATAL}:80,{number:x}:10"));
                let answer = call_at(gateway.front, call.as_bytes());
                refused += usize::from(answer.status == 503);
            } else {
                let call =
                    stream(number, &format!("5c1e07a2:60,{:x}:80,{number:x}:10", number % 7));
                let answer = call_at(gateway.front, call.as_bytes());
                sent += 1;
                served += usize::from(answer.status == 200);
            }
            let now = runs(&runners);
            if now > before && fifth.is_some_and(|at: Instant| at.elapsed() > CONTACT_TIME) {
                late += now - before;
            }
            if now >= 5 && fifth.is_none() {
                fifth = Some(Instant::now());
            }
            std::thread::sleep(INTERVAL);
        }
        wait_until("all runners are back", || runners.iter().all(|runner| !runner.is_down()));
        is_over.store(true, Ordering::Relaxed);
        keeper.join().expect("no runner is lost");
        let all = runs(&runners);
        assert!(all >= 3, "{end:?}: {all} runs");
        assert!(late <= MAX_LATE, "{end:?}: {late} of {all} runs late");
        assert!(refused > 0, "{end:?}: its callers are told");
        assert!(served * 100 >= sent * 95, "{end:?}: {served} of {sent} sound requests served");
    }
}
