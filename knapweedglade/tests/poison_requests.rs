//! Nine gateways stop a request that ends the runners that run it, and serve the others.

#[path = "support/runner_keeper.rs"]
mod runner_keeper;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use kwg_standin::{FatalEnd, RunnerStandin, SampleFleet};
use runner_keeper::{DOWN_TIME, keep_alive};
use support::{GatewayChild, call_at, request, wait_until};

const GATEWAYS: usize = 9;
const RUNNERS: usize = 8;
/// Time after the third end from which no gateway may send the request.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Interval of the callers of the request.
const INTERVAL: Duration = Duration::from_millis(400);

/// Number of requests with this path that have reached runners.
fn runs(runners: &[RunnerStandin], path: &str) -> usize {
    let of_path = |runner: &RunnerStandin| {
        let received = runner.received();
        received.iter().filter(|request| request.head.target == path).count()
    };
    runners.iter().map(of_path).sum()
}

#[test]
fn a_request_that_ends_its_runners_is_stopped_at_nine_gateways_and_others_are_served() {
    let SampleFleet { store, runners } = SampleFleet::start(RUNNERS).expect("ports are free");
    let mut gateways: Vec<GatewayChild> =
        (0..GATEWAYS).map(|number| GatewayChild::start(&format!("g{number}"), &store)).collect();
    gateways.iter().for_each(GatewayChild::wait_ready);
    let is_over = Arc::new(AtomicBool::new(false));
    let (served, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let keeper = {
        let (store, runners, is_over) = (store.clone(), runners.clone(), Arc::clone(&is_over));
        std::thread::spawn(move || keep_alive(&store, &runners, &is_over))
    };
    let caller = {
        let fronts: Vec<_> = gateways.iter().skip(1).map(|gateway| gateway.front).collect();
        let (is_over, served, sent) =
            (Arc::clone(&is_over), Arc::clone(&served), Arc::clone(&sent));
        std::thread::spawn(move || {
            for (number, front) in fronts.iter().cycle().enumerate() {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let call = request("GET", &format!("/scan/good-{number}"), "good");
                let status = call_at(*front, call.as_bytes()).status;
                sent.fetch_add(1, Ordering::Relaxed);
                served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(50));
            }
        })
    };
    let cases = [
        ("GET", "/scan/fatal-0", FatalEnd::NoAnswer),
        ("POST", "/open/fatal-1", FatalEnd::NoAnswer),
        ("POST", "/stream/draft/fatal-2", FatalEnd::MidStream),
        ("POST", "/stream/digest/fatal-3", FatalEnd::InHead),
        ("GET", "/scan/fatal-4", FatalEnd::InBody),
        ("POST", "/stream/digest/fatal-5", FatalEnd::Silent),
    ];
    for (method, path, end) in cases {
        runners.iter().for_each(|runner| runner.set_fatal(path, end));
        let (mut third, mut late) = (None, 0);
        let started = Instant::now();
        let mut refused = 0;
        for gateway in gateways.iter().cycle() {
            if third.is_some_and(|at: Instant| at.elapsed() > CONTACT_TIME + DOWN_TIME) {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(40), "{path}: not ended three times");
            let before = runs(&runners, path);
            let answer = call_at(gateway.front, request(method, path, "fatal").as_bytes());
            let now = runs(&runners, path);
            refused += usize::from(answer.status == 503);
            if now > before && third.is_some_and(|at: Instant| at.elapsed() > CONTACT_TIME) {
                late += now - before;
            }
            if now >= 3 && third.is_none() {
                third = Some(Instant::now());
            }
            std::thread::sleep(INTERVAL);
        }
        assert_eq!(late, 0, "{path} {end:?}: {} runs", runs(&runners, path));
        assert!(refused > 0, "{path} {end:?}: its callers are told that it has not run");
    }
    // A gateway that starts again knows what the others refuse.
    let (_, path, _) = cases[0];
    let before = runs(&runners, path);
    drop(gateways.remove(0));
    let started = GatewayChild::start("g0", &store);
    started.wait_ready();
    let answer = call_at(started.front, request("GET", path, "fatal").as_bytes());
    assert_eq!((answer.status, runs(&runners, path)), (503, before));
    assert_eq!(answer.field("Retry-After"), None, "it must not come again at once");
    wait_until("all runners are back", || runners.iter().all(|runner| !runner.is_down()));
    is_over.store(true, Ordering::Relaxed);
    caller.join().expect("all sound requests have an outcome");
    keeper.join().expect("no runner is lost");
    let (served, sent) = (served.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    assert!(served * 100 >= sent * 90, "{served} of {sent} sound requests served");
}
