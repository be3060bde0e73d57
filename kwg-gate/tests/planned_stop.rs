//! What an instance that stops does with requests that come late in its grace period.

mod support;

use std::time::Duration;

use kwg_gate::{
    FinalOutcome, GateCore, GateSession, PlacementOutcome, Received, RequestDetails, RequestKind,
    TokenCount,
};
use kwg_model::MonoTime;
use support::{STREAM, core, start};

/// Places a request for an answer of up to so many tokens.
fn place_answer(core: &mut GateCore, output: u64, now: MonoTime) -> PlacementOutcome {
    let details = RequestDetails {
        id: "late".to_owned(),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: Some(TokenCount { prompt: 100, output }),
        arrived: now,
        deadline: now + Duration::from_secs(10),
        fingerprint: output,
    };
    let session = GateSession::<Received>::new(details).admit(core, 0.5, now).expect("admitted");
    session.place(core, 0.5, now)
}

#[test]
fn a_request_that_cannot_end_before_a_stopping_instance_does_is_refused_as_not_run() {
    for kind in [STREAM, RequestKind::NonIdempotent] {
        let mut core = core(1, kind);
        core.set_end(start() + Duration::from_secs(1));
        // A token takes 3 ms.
        let PlacementOutcome::Refused(outcome) = place_answer(&mut core, 1_000, start()) else {
            panic!("{kind:?}: it would be cut at the end");
        };
        assert_eq!(outcome, FinalOutcome::stopping());
        let short = place_answer(&mut core, 100, start());
        assert!(matches!(short, PlacementOutcome::Placed(_)), "{kind:?}: it ends in time");
    }
}
