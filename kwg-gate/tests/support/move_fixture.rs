//! Version moves at an instance with targets of two versions.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    AnswerOutcome, AttemptSample, CallerLimits, ColdNotice, Dispatched, DomainMap, EngineRule,
    GateCore, GateDigest, GateOptions, GateSession, InstanceMap, MovePhase, MoveTracker,
    PlacementOutcome, Received, RegionBound, RequestDetails, RequestKind, RoutePool, RouteRule,
    RouteTable, ServiceName, ServiceRule, TargetEntry, TargetId, TargetRegistry, VersionOrder,
};
use kwg_model::MonoTime;

/// The time limit of the order.
pub const LIMIT_MS: u64 = 12_000;
/// How often decisions are taken.
pub const STEP_MS: u64 = 200;

/// An order to move the service to a version, with its revision and time limit.
pub fn order_within(to: &str, revision: u64, limit_ms: u64) -> VersionOrder {
    let (service, time_limit) = (ServiceName::new("llm"), Duration::from_millis(limit_ms));
    VersionOrder { service, to: to.to_owned(), time_limit, revision }
}

/// An order to move the service from `v1` to `v2`.
pub fn order() -> VersionOrder {
    order_within("v2", 1, LIMIT_MS)
}

/// A time in milliseconds after the start.
pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A good answer.
pub fn good() -> AnswerOutcome {
    AnswerOutcome::Delivered { pace_ms: 50.0 }
}

/// Counts attempts at a version.
pub fn record(tracker: &mut MoveTracker, version: &str, count: u32, outcome: AnswerOutcome) {
    (0..count).for_each(|_| tracker.record_answer("llm", version, "draft", outcome));
}

/// A number in [0, 1) for each index.
pub fn draw(index: u64) -> f64 {
    let mixed = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 40) as f64 / (1 << 24) as f64
}

/// Targets of these versions.
pub fn registry(versions: &[&str]) -> Arc<TargetRegistry> {
    let mut registry = TargetRegistry::default();
    let entries = versions.iter().zip(1..).map(|(version, number)| TargetEntry {
        id: TargetId::new(&format!("i-{version}")),
        service: ServiceName::new("llm"),
        address: SocketAddr::from(([127, 0, 0, number], 1)),
        domain: "a".to_owned(),
        version: (*version).to_owned(),
        slots: 100,
        is_draining: false,
        born: 1,
        cold: ColdNotice::default(),
    });
    registry.replace(1, entries, at(0));
    Arc::new(registry)
}

/// An instance alone in its fleet, with targets of these versions.
pub fn core(versions: &[&str]) -> GateCore {
    let mut core = GateCore::new(GateOptions {
        domains: DomainMap { own: "a".to_owned(), ..DomainMap::default() },
        ..GateOptions::default()
    });
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: "draft".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: true },
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(800),
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots: 100, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let rule =
        ServiceRule { name: service, max_connections: 100, engine: Some(engine), cold: None };
    let table = RouteTable::new(1, [route], [rule], [], CallerLimits::default());
    core.set_table(&Arc::new(table));
    core.set_registry(&registry(versions));
    core.set_instances(&instances(&["own"]));
    core
}

/// Instances of one domain, of which `own` is this one.
pub fn instances(names: &[&str]) -> InstanceMap {
    let names = names.iter().map(|name| (*name).to_owned()).collect();
    InstanceMap { own: "own".to_owned(), domains: [("a".to_owned(), names)].into() }
}

/// Sends a request that arrives `now`, if there is a target.
pub fn send(core: &mut GateCore, number: u64, now: MonoTime) -> Option<GateSession<Dispatched>> {
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
    let draw = draw(number);
    let session = GateSession::<Received>::new(details).admit(core, draw, now).expect("admitted");
    match session.place(core, draw, now) {
        PlacementOutcome::Placed(placed) => Some(placed.dispatch()),
        _ => None,
    }
}

/// The version of the target that has the request.
pub fn version_of(core: &GateCore, session: &GateSession<Dispatched>) -> String {
    core.targets().entry(session.placement().target).expect("known").version.clone()
}

/// The measurements of a good answer.
pub fn sample() -> AttemptSample {
    AttemptSample {
        hold: Duration::from_millis(50),
        first_event: Some(Duration::from_millis(10)),
        event_gap: Some(Duration::from_millis(1)),
        longest_gap: Some(Duration::from_millis(1)),
        events: 40,
        tokens_per_event: 1.0,
    }
}

/// Sends a request every 10 ms, each of which gets a good answer at once, and takes decisions. Calls
/// `before` with the time of each request. Returns the phases and when they were reached.
pub fn play(
    core: &mut GateCore,
    span: std::ops::Range<u64>,
    mut before: impl FnMut(&mut GateCore, u64),
) -> Vec<(MovePhase, u64)> {
    let mut phases = Vec::new();
    for millis in span.step_by(10) {
        before(core, millis);
        if let Some(session) = send(core, millis, at(millis)) {
            session.answered(core, &sample(), at(millis));
        }
        if millis.is_multiple_of(STEP_MS) {
            let decisions = core.decide_moves(at(millis));
            phases.extend(decisions.iter().map(|decision| (decision.phase, millis)));
        }
    }
    phases
}

/// A digest of an instance with answers of both versions.
pub fn digest(
    run: u64,
    old: u32,
    new: u32,
    failures: u32,
    millis: u64,
    limit_ms: u64,
) -> GateDigest {
    let mut tracker = MoveTracker::default();
    tracker.apply_order(&order_within("v2", 1, limit_ms), None, at(0));
    record(&mut tracker, "v1", old, good());
    record(&mut tracker, "v2", new, good());
    record(&mut tracker, "v2", failures, AnswerOutcome::Undelivered);
    GateDigest { run, members: 1, moves: tracker.reports(at(millis)), ..GateDigest::default() }
}
