//! A target that is silent for a while is given up only if another one can take the request over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    CallerLimits, Dispatched, DomainMap, EngineRule, GateCore, GateOptions, GateSession,
    InstanceMap, PlacementOutcome, Received, RequestDetails, RequestKind, RoutePool, RouteRule,
    RouteTable, ServiceName, ServiceRule, TargetEntry, TargetId, TargetRegistry,
};
use kwg_model::MonoTime;

const SLOTS: u32 = 2;

fn now() -> MonoTime {
    MonoTime::from_millis(1_000)
}

/// A core that owns all slots of `targets` targets, with a resumable stream route.
fn core(targets: u8, kind: RequestKind) -> GateCore {
    let mut core = GateCore::new(GateOptions {
        domains: DomainMap { own: "a".to_owned(), ..DomainMap::default() },
        ..GateOptions::default()
    });
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: "draft".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(800),
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
    };
    let engine = EngineRule { slots: SLOTS, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let rule = ServiceRule { name: service.clone(), max_connections: 100, engine: Some(engine) };
    let table = RouteTable::new(1, [route], [rule], [], CallerLimits::default());
    core.set_table(&Arc::new(table));
    let mut registry = TargetRegistry::default();
    let entry = |number: u8| TargetEntry {
        id: TargetId::new(&format!("i-{number}")),
        service: service.clone(),
        address: SocketAddr::from(([127, 0, 0, number], 1)),
        domain: "a".to_owned(),
        version: "v1".to_owned(),
        slots: SLOTS,
        is_draining: false,
        born: 1,
    };
    registry.replace(1, (0..targets).map(entry), now());
    core.set_registry(&Arc::new(registry));
    let domains = [("a".to_owned(), vec!["own".to_owned()])].into();
    core.set_instances(&InstanceMap { own: "own".to_owned(), domains });
    core
}

/// Sends one request, which occupies a slot.
fn send(core: &mut GateCore, id: &str) -> GateSession<Dispatched> {
    let details = RequestDetails {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        tokens: None,
        arrived: now(),
        deadline: now() + Duration::from_secs(10),
        fingerprint: id.len() as u64,
    };
    let session = GateSession::<Received>::new(details).admit(core, 0.5, now()).expect("admitted");
    let PlacementOutcome::Placed(placed) = session.place(core, 0.5, now()) else {
        panic!("a slot is free");
    };
    let dispatched = placed.dispatch();
    core.targets_mut().begin_attempt(dispatched.placement().target, 0);
    dispatched
}

const STREAM: RequestKind = RequestKind::Stream { resumable: true };

#[test]
fn a_silent_target_is_given_up_for_one_with_a_free_slot() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    assert!(session.may_retry(&core, now()));
}

#[test]
fn a_silent_target_is_not_given_up_while_all_others_are_full() {
    // Seen in the middle of an overload: streams were cut after 1.2 s of silence, and no other
    // target had room for them.
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    while core.targets().free_slots("llm") > 0 {
        send(&mut core, "other");
    }
    assert!(!session.may_retry(&core, now()));
}

#[test]
fn a_silent_target_is_not_given_up_if_there_is_no_other() {
    let mut core = core(1, STREAM);
    let session = send(&mut core, "r1");
    assert!(!session.may_retry(&core, now()));
}

#[test]
fn a_request_that_must_not_be_repeated_stays_with_its_silent_target() {
    for kind in [RequestKind::NonIdempotent, RequestKind::Stream { resumable: false }] {
        let mut core = core(2, kind);
        let session = send(&mut core, "r1");
        assert!(!session.may_retry(&core, now()), "{kind:?}");
    }
}
