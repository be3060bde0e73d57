//! A core with targets whose slots it owns, and requests at them.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    CallerLimits, ColdNotice, Dispatched, DomainMap, EngineRule, GateCore, GateOptions,
    GateSession, InstanceMap, PlacementOutcome, Received, RegionBound, RequestDetails, RequestKind,
    RetryBudgetOptions, RoutePool, RouteRule, RouteTable, ServiceName, ServiceRule, TargetEntry,
    TargetId, TargetRegistry,
};
use kwg_model::MonoTime;

/// Slots of each target.
pub const SLOTS: u32 = 2;
/// Target latency of the route.
pub const TARGET_LATENCY: Duration = Duration::from_millis(800);
/// The kind of a resumable stream.
pub const STREAM: RequestKind = RequestKind::Stream { resumable: true };

/// When the first requests arrive.
pub fn start() -> MonoTime {
    MonoTime::from_millis(1_000)
}

/// A core that owns all slots of `targets` targets, with a route whose requests may run twice.
pub fn core(targets: u8, kind: RequestKind) -> GateCore {
    core_with(targets, kind, 2, RetryBudgetOptions::default())
}

/// As [`core`], with a number of runs and a retry budget.
pub fn core_with(
    targets: u8,
    kind: RequestKind,
    max_attempts: u8,
    retry: RetryBudgetOptions,
) -> GateCore {
    let mut core = GateCore::new(GateOptions {
        domains: DomainMap { own: "a".to_owned(), ..DomainMap::default() },
        retry,
        ..GateOptions::default()
    });
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: "draft".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(10),
        target_latency: TARGET_LATENCY,
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots: SLOTS, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let rule = ServiceRule {
        name: service.clone(),
        max_connections: 100,
        engine: Some(engine),
        cold: None,
    };
    let table = RouteTable::new(1, [route], [rule], [], CallerLimits::default());
    core.set_table(&Arc::new(table));
    core.set_registry(&registry(targets));
    let domains = [("a".to_owned(), vec!["own".to_owned()])].into();
    core.set_instances(&InstanceMap { own: "own".to_owned(), domains });
    core
}

/// The targets, all ready.
pub fn registry(targets: u8) -> Arc<TargetRegistry> {
    let service = ServiceName::new("llm");
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
        cold: ColdNotice::default(),
    };
    registry.replace(1, (0..targets).map(entry), start());
    Arc::new(registry)
}

/// Asks for a target for a request that arrives `now`.
pub fn place(core: &mut GateCore, number: u64, now: MonoTime) -> PlacementOutcome {
    let details = RequestDetails {
        id: format!("r{number}"),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: now,
        deadline: now + Duration::from_secs(10),
        fingerprint: number,
    };
    let session = GateSession::<Received>::new(details).admit(core, 0.5, now).expect("admitted");
    session.place(core, 0.5, now)
}

/// Sends one request, which occupies a slot.
pub fn send(core: &mut GateCore, number: u64, now: MonoTime) -> GateSession<Dispatched> {
    let PlacementOutcome::Placed(placed) = place(core, number, now) else {
        panic!("a slot is free");
    };
    let dispatched = placed.dispatch();
    core.targets_mut().begin_attempt(dispatched.placement().target, 0);
    dispatched
}
