//! Routes and targets of the fleets that requests end the targets of.

use std::net::SocketAddr;
use std::time::Duration;

use kwg_gate::{
    CallerLimits, ColdNotice, EngineRule, RegionBound, RequestKind, RoutePool, RouteRule,
    RouteTable, ServiceName, ServiceRule, TargetEntry, TargetId, TargetRegistry,
};
use kwg_model::MonoTime;

/// Slots of each target.
const SLOTS: u32 = 6;
/// How long callers wait.
pub const DEADLINE: Duration = Duration::from_secs(5);

/// A route of streams that may be resumed.
pub const STREAM: &str = "/stream";
/// A route of streams that may not be resumed.
pub const ONCE: &str = "/once";
/// A route of idempotent requests to a plain service.
pub const READ: &str = "/read";
/// A route of requests to a plain service that must not be repeated.
pub const ORDER: &str = "/order";

/// One run of a target.
#[derive(Debug, Clone)]
pub struct ModelTarget {
    pub id: String,
    pub born: u64,
    pub service: &'static str,
    pub domain: String,
    pub address: SocketAddr,
    /// Until when it is down.
    pub down_until: Option<u64>,
}

/// The routes: of an engine and of a plain service, with and without repeats.
pub fn table() -> RouteTable {
    let route = |prefix: &str, service: &str, kind, runs| RouteRule {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: DEADLINE,
        target_latency: Duration::from_millis(800),
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: ServiceName::new(service), weight: 1 }],
        max_attempts: runs,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots: SLOTS, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let service = |name: &str, engine| ServiceRule {
        name: ServiceName::new(name),
        max_connections: 100,
        engine,
        cold: None,
    };
    RouteTable::new(
        1,
        [
            route(STREAM, "llm", RequestKind::Stream { resumable: true }, 2),
            route(ONCE, "llm", RequestKind::Stream { resumable: false }, 2),
            route(READ, "app", RequestKind::Idempotent, 2),
            route(ORDER, "app", RequestKind::NonIdempotent, 2),
        ],
        [service("llm", Some(engine)), service("app", None)],
        [],
        CallerLimits::default(),
    )
}

impl ModelTarget {
    /// `count` targets of each service, in domains by turns.
    pub fn all(count: usize, domains: usize) -> Vec<Self> {
        let target = |index: usize, service: &'static str| {
            let port = 3_000 + index + if service == "app" { 1_000 } else { 0 };
            let port = u16::try_from(port).expect("small");
            Self {
                id: format!("{service}-{index}-0"),
                born: 1,
                service,
                domain: format!("z{}", index % domains),
                address: SocketAddr::from(([10, 0, 1, 1], port)),
                down_until: None,
            }
        };
        let engines = (0..count).map(|index| target(index, "llm"));
        engines.chain((0..count).map(|index| target(index, "app"))).collect()
    }

    /// The entry that the target has in the store, also while it is down.
    fn entry(&self) -> TargetEntry {
        TargetEntry {
            id: TargetId::new(&self.id),
            service: ServiceName::new(self.service),
            address: self.address,
            domain: self.domain.clone(),
            version: "v1".to_owned(),
            slots: SLOTS,
            is_draining: false,
            born: self.born,
            cold: ColdNotice::default(),
        }
    }

    /// The registry of all targets.
    pub fn registry(targets: &[Self], revision: u64, now: MonoTime) -> TargetRegistry {
        let mut registry = TargetRegistry::default();
        registry.replace(revision, targets.iter().map(Self::entry), now);
        registry
    }

    /// Starts the target as another run if it is due; returns whether it has.
    pub fn start_if_due(&mut self, now_ms: u64) -> bool {
        if self.down_until.is_none_or(|until| until > now_ms) {
            return false;
        }
        self.down_until = None;
        self.born = now_ms;
        let (name, run) = self.id.rsplit_once('-').expect("a run");
        let run: u64 = run.parse().expect("a number");
        // Each third one is back under the id that it had.
        if !now_ms.is_multiple_of(3) {
            self.id = format!("{name}-{}", run + 1);
        }
        true
    }
}
