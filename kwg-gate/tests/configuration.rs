//! Which configuration a request follows: the newest one that the instance has had when the request arrived.

mod support;

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    CallerLimits, FinalOutcome, GateCore, GateSession, PlacementOutcome, Received, RefusalReason,
    RegionBound, RequestDetails, RequestKind, RoutePool, RouteRule, RouteTable, ServiceName,
    ServiceRule,
};
use kwg_model::MonoTime;
use support::{STREAM, TARGET_LATENCY, core, place, send, start};

/// A configuration with one route, below a path.
fn table(version: u64, prefix: &str) -> Arc<RouteTable> {
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(10),
        target_latency: TARGET_LATENCY,
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let rule = ServiceRule { name: service, max_connections: 100, engine: None, cold: None };
    Arc::new(RouteTable::new(version, [route], [rule], [], CallerLimits::default()))
}

fn admit(core: &mut GateCore, path: &str, now: MonoTime) -> Result<(), FinalOutcome> {
    let details = RequestDetails {
        id: path.to_owned(),
        host: "h".to_owned(),
        path: path.to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: now,
        deadline: now + Duration::from_secs(10),
        fingerprint: 1,
    };
    GateSession::<Received>::new(details).admit(core, 0.5, now).map(drop)
}

#[test]
fn no_request_follows_an_older_configuration_after_a_newer_one() {
    let mut core = core(1, STREAM);
    assert!(core.set_table(&table(7, "/new/")));
    // From a copy of a peer, a reading that is stale, or a feed that was slower.
    assert!(!core.set_table(&table(5, "/old/")));
    assert_eq!(admit(&mut core, "/new/a", start()), Ok(()));
    let no_route = Err(FinalOutcome::refused(RefusalReason::NoRoute));
    assert_eq!(admit(&mut core, "/old/a", start()), no_route);
}

#[test]
fn a_request_that_waits_is_still_served_when_its_route_is_dropped_and_no_later_one_is() {
    let mut core = core(1, STREAM);
    let first = send(&mut core, 1, start());
    send(&mut core, 2, start());
    let PlacementOutcome::Waiting(waiting, _) = place(&mut core, 3, start()) else {
        panic!("all slots are in use");
    };
    assert!(core.set_table(&table(2, "/new/")));
    let no_route = Err(FinalOutcome::refused(RefusalReason::NoRoute));
    assert_eq!(admit(&mut core, "/a", start()), no_route);
    core.targets_mut().end_attempt(first.placement().target);
    let placed = waiting.place(&mut core, 0.5, start() + Duration::from_millis(100));
    assert!(matches!(placed, PlacementOutcome::Placed(_)), "{placed:?}");
}
