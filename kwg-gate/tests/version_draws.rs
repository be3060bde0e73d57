//! Which version serves a request that waits or is tried again within a version move.

#[path = "support/move_fixture.rs"]
mod move_fixture;

use std::time::Duration;

use kwg_gate::{GateSession, PlacementOutcome, Received, RequestDetails};

use move_fixture::{at, core, order, play, send, version_of};

/// Number of requests that wait.
const REQUESTS: u64 = 60;

fn details(number: u64) -> RequestDetails {
    RequestDetails {
        id: format!("w{number}"),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: at(2_000),
        deadline: at(2_000) + Duration::from_secs(10),
        fingerprint: number,
    }
}

#[test]
fn requests_that_wait_for_old_targets_do_not_all_go_to_a_version_that_is_not_proved() {
    let mut core = core(&["v1", "v2"]);
    core.apply_order(&order(), None, at(0));
    play(&mut core, 0..2_000, |_, _| {});
    let mut running = Vec::new();
    for number in 10_000..10_200 {
        if let Some(session) = send(&mut core, number, at(2_000)) {
            core.targets_mut().begin_attempt(session.placement().target, 0);
            running.push(session);
        }
    }
    let old = running.iter().filter(|session| version_of(&core, session) == "v1").count();
    assert_eq!(old, 100, "old targets are full");
    let mut new = 0;
    for number in 0..REQUESTS {
        let mut session = GateSession::<Received>::new(details(number))
            .admit(&mut core, 0.5, at(2_000))
            .expect("admitted");
        for step in 0..30_u64 {
            let draw = (step as f64 * 0.618_033).fract();
            match session.place(&mut core, draw, at(2_001 + step)) {
                PlacementOutcome::Placed(placed) => {
                    let session = placed.dispatch();
                    core.targets_mut().begin_attempt(session.placement().target, 0);
                    running.push(session);
                    new += 1;
                    break;
                }
                PlacementOutcome::Waiting(waiting, _) => session = waiting,
                PlacementOutcome::Refused(_) => break,
            }
        }
    }
    assert!(new * 3 <= REQUESTS, "{new} of {REQUESTS} requests that wait go to the new version");
}
