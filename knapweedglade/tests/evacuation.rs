//! Evacuation of a failure domain by a row in the store: requests go elsewhere, and return when the row is gone.

mod support;

use kwg_standin::SampleFleet;
use support::{TestFleet, request, wait_until};

#[test]
fn requests_go_elsewhere_while_a_domain_is_evacuated_and_return_after() {
    let fleet = TestFleet::start("evacuation", 2);
    let entry = SampleFleet::entry(&fleet.runners[1], "ready").to_string();
    let elsewhere = entry.replace("\"graz\"", "\"wien\"");
    fleet.store.put("servers", "i-1", Some(elsewhere.as_bytes()));
    let mut number = 0;
    let mut call = || {
        number += 1;
        fleet.call(&request("POST", "/open/a", &format!("r{number}"))).status
    };
    let runs = |runner: usize| fleet.runners[runner].received().len();
    // One after the other, so that each serves again after its evacuation; in between both are evacuated, and
    // requests wait.
    for (domain, evacuated, other, before) in
        [("graz", 0, 1, "wien"), ("wien", 1, 0, "graz"), ("graz", 0, 1, "wien")]
    {
        fleet.store.put("op", &format!("evacuate/{domain}"), Some(b"{}"));
        fleet.store.put("op", &format!("evacuate/{before}"), None);
        wait_until("all requests go to the other domain", || {
            let before = runs(evacuated);
            (0..10).all(|_| call() == 200) && runs(evacuated) == before
        });
        let before = (runs(evacuated), runs(other));
        assert!((0..30).all(|_| call() == 200), "{domain}");
        assert_eq!((runs(evacuated), runs(other)), (before.0, before.1 + 30), "{domain}");
    }
    // Both: refused, and truthfully so.
    fleet.store.put("op", "evacuate/graz", Some(b"{}"));
    fleet.store.put("op", "evacuate/wien", Some(b"{}"));
    wait_until("requests are refused", || call() == 503);
    let before = (runs(0), runs(1));
    let answer = fleet.call(&request("POST", "/open/a", "last"));
    assert_eq!(answer.status, 503);
    assert!(answer.head.expect("a head").headers.get("Retry-After").is_some());
    assert_eq!((runs(0), runs(1)), before);
}
