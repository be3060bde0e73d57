//! Which targets a gateway process uses, as far as its configuration and their entries limit that: home regions and cold
//! targets.

mod support;

use std::thread;

use kwg_standin::SampleFleet;
use serde_json::json;
use support::{Answer, TestFleet, call_at, request, wait_until};

/// Calls at one moment, a multiple of what a cold target gets from the only instance in a second: a third of 11.
const CALLS: usize = 12;
const SHARE: usize = 3;

fn call_all(fleet: &TestFleet) -> Vec<Answer> {
    let front = fleet.gateway.front;
    let call = |number| {
        move || call_at(front, request("POST", "/open/a", &format!("c{number}")).as_bytes())
    };
    let calls: Vec<_> = (0..CALLS).map(|number| thread::spawn(call(number))).collect();
    calls.into_iter().map(|call| call.join().expect("no panic")).collect()
}

#[test]
fn a_request_is_refused_while_no_target_lies_in_its_regions() {
    let fleet = TestFleet::start("regions", 1);
    fleet.apply_config(|config| config["routes"][3]["allowedRegions"] = json!(["west"]));
    let runs = fleet.runs();
    let refused = fleet.call(&request("POST", "/open/a", "r1"));
    assert_eq!(refused.status, 503);
    assert!(refused.field("Retry-After").is_some());
    assert_eq!(fleet.runs(), runs, "it has not run");
    let mut config = SampleFleet::config(3);
    config["routes"][3]["allowedRegions"] = json!(["west", "ost"]);
    fleet.store.put("op", "config", Some(config.to_string().as_bytes()));
    wait_until("served", || fleet.call(&request("POST", "/open/a", "r2")).status == 200);
}

#[test]
fn a_cold_target_gets_few_requests_at_a_time_and_many_once_it_is_warm() {
    let fleet = TestFleet::start("cold", 1);
    fleet.apply_config(|config| {
        config["services"][0]["coldStartS"] = json!(60);
        config["services"][0]["coldPerS"] = json!(11);
    });
    let put = |born: u64, left_ms: u64| {
        let mut entry = SampleFleet::entry(&fleet.runners[0], "ready");
        (entry["born"], entry["coldLeftMs"]) = (json!(born), json!(left_ms));
        fleet.store.put("servers", "i-0", Some(entry.to_string().as_bytes()));
    };
    put(2, 60_000);
    wait_until("cold", || metric(&fleet, "kwg_gateway_targets_cold") == Some(1));
    wait_until("it serves at its rate", || {
        fleet.call(&request("POST", "/open/a", "r")).status == 200
    });
    let runs = fleet.runs();
    let answers = call_all(&fleet);
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, fleet.runs() - runs, "the others have not run");
    // They wait for less than a second, so that two shares at most are used on the slowest machine.
    assert!(served <= 2 * SHARE, "{served}");
    assert!(answers.iter().all(|answer| [200, 503].contains(&answer.status)));
    put(2, 0);
    wait_until("warm", || metric(&fleet, "kwg_gateway_targets_cold") == Some(0));
    let served = call_all(&fleet).iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, CALLS);
}

/// The value of a gauge.
fn metric(fleet: &TestFleet, name: &str) -> Option<u64> {
    let call = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let text = call_at(fleet.gateway.metrics, call.as_bytes()).text();
    text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}
