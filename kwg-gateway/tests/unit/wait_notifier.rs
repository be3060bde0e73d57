//! A free slot is not left idle because the first request in the queue cannot use it.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use futures_lite::future::poll_once;
use kwg_clock::ClockHandle;
use kwg_gate::{
    Admitted, AttemptEvidence, CallerLimits, CallerOptions, ColdNotice, DomainMap, EngineRule,
    GateCore, GateOptions, GateSession, InstanceMap, PlacementOutcome, Received, RegionBound,
    RequestDetails, RequestKind, RoutePool, RouteRule, RouteTable, ServiceName, ServiceRule,
    SessionStep, TargetEntry, TargetId, TargetRegistry,
};
use kwg_model::MonoTime;

use super::WaitNotifier;
use crate::gateway_metrics::GatewayMetrics;
use crate::traffic::traffic_state::TrafficState;

/// A core with one slot at one target.
fn core(now: MonoTime) -> GateCore {
    let mut core = GateCore::new(GateOptions {
        domains: DomainMap {
            own: "a".to_owned(),
            regions: [("a".to_owned(), "ost".to_owned())].into(),
        },
        ..GateOptions::default()
    });
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: "draft".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        timeout: Duration::from_secs(100),
        target_latency: Duration::from_secs(50),
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots: 1, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let rule = ServiceRule {
        name: service.clone(),
        max_connections: 100,
        engine: Some(engine),
        cold: None,
    };
    let bound = RouteRule {
        name: "bound".to_owned(),
        prefix: "/bound/".to_owned(),
        regions: RegionBound::of(["west".to_owned()]),
        ..route.clone()
    };
    let table = RouteTable::new(1, [route, bound], [rule], [], CallerLimits::default());
    core.set_table(&Arc::new(table));
    let mut registry = TargetRegistry::default();
    let entry = TargetEntry {
        id: TargetId::new("i-0"),
        service,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 1,
        is_draining: false,
        born: 1,
        cold: ColdNotice::default(),
    };
    registry.replace(1, [entry], now);
    core.set_registry(&Arc::new(registry));
    let domains = [("a".to_owned(), vec!["own".to_owned()])].into();
    core.set_instances(&InstanceMap { own: "own".to_owned(), domains });
    core
}

fn admit(core: &mut GateCore, id: &str, now: MonoTime) -> GateSession<Admitted> {
    admit_at(core, id, "/a", now)
}

fn admit_at(core: &mut GateCore, id: &str, path: &str, now: MonoTime) -> GateSession<Admitted> {
    let details = RequestDetails {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: path.to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: now,
        deadline: now + Duration::from_secs(100),
        fingerprint: 0,
    };
    GateSession::<Received>::new(details).admit(core, 0.5, now).expect("admitted")
}

/// A request whose run at the only target has been cut.
fn cut(core: &mut GateCore, id: &str, now: MonoTime) -> GateSession<Admitted> {
    let session = admit(core, id, now);
    let PlacementOutcome::Placed(placed) = session.place(core, 0.5, now) else {
        panic!("a slot is free");
    };
    match placed.dispatch().close(core, AttemptEvidence::Cut, now) {
        SessionStep::Retry(again) => again,
        SessionStep::Ended(outcome) => panic!("two runs are allowed: {outcome:?}"),
    }
}

#[test]
fn a_request_gets_a_free_slot_although_one_that_has_tried_its_target_comes_first() {
    let clock = ClockHandle::system();
    let now = clock.now();
    let mut core = core(now);
    let again = cut(&mut core, "again", now);
    let first = admit(&mut core, "first", now);
    let later = admit(&mut core, "later", now);
    let service = first.service().clone();
    let state = TrafficState::new(core, clock, GatewayMetrics::new(), CallerOptions::default());
    let limit = now + Duration::from_secs(50);
    let mut again = pin!(WaitNotifier::wait(&state, &again, limit));
    let mut first = pin!(WaitNotifier::wait(&state, &first, limit));
    let mut later = pin!(WaitNotifier::wait(&state, &later, limit));
    block_on(async {
        assert_eq!(poll_once(again.as_mut()).await, None);
        assert_eq!(poll_once(first.as_mut()).await, None);
        assert_eq!(poll_once(later.as_mut()).await, None);
        WaitNotifier::wake(&state, &service, 1);
        let woken = [poll_once(again).await, poll_once(first).await, poll_once(later).await];
        assert_eq!(woken[1..], [Some(()), None]);
    });
}

/// A request that waits for another region would be woken for every free slot, find none, and keep its place before
/// those that can use it.
#[test]
fn a_request_gets_a_free_slot_although_one_for_another_region_comes_first() {
    let clock = ClockHandle::system();
    let now = clock.now();
    let mut core = core(now);
    let bound = admit_at(&mut core, "bound", "/bound/", now);
    let first = admit(&mut core, "first", now);
    let service = first.service().clone();
    let state = TrafficState::new(core, clock, GatewayMetrics::new(), CallerOptions::default());
    let limit = now + Duration::from_secs(50);
    let mut bound = pin!(WaitNotifier::wait(&state, &bound, limit));
    let mut first = pin!(WaitNotifier::wait(&state, &first, limit));
    block_on(async {
        assert_eq!(poll_once(bound.as_mut()).await, None);
        assert_eq!(poll_once(first.as_mut()).await, None);
        WaitNotifier::wake(&state, &service, 1);
        assert_eq!([poll_once(bound.as_mut()).await, poll_once(first).await], [None, Some(())]);
        WaitNotifier::wake_all(&state);
        assert_eq!(poll_once(bound).await, Some(()), "other limits apply to it as well");
    });
}
