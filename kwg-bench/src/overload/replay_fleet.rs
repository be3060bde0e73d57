use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    Admitted, CallerLimits, ColdNotice, DomainMap, EngineRule, GateCore, GateOptions, GateSession,
    InstanceMap, QueuePosition, RegionBound, RequestKind, RoutePool, RouteRule, RouteTable,
    ServiceName, ServiceRule, TargetEntry, TargetId, TargetRegistry,
};
use kwg_model::MonoTime;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::overload_replay::TOKENS_PER_EVENT;
use super::target_model::TargetModel;
use super::{LoadPattern, RequestClass};

/// Speeds of the targets, in turn.
const SPEEDS: [f64; 3] = [0.55, 1.0, 2.8];
/// The instances and targets of a load pattern.
#[derive(Debug)]
pub(super) struct ReplayFleet {
    pub(super) nodes: Vec<ReplayNode>,
    /// Name, service and model of each target.
    pub(super) targets: Vec<(TargetId, &'static str, TargetModel)>,
}

/// An instance.
#[derive(Debug)]
pub(super) struct ReplayNode {
    pub(super) name: String,
    pub(super) domain: String,
    pub(super) core: GateCore,
    pub(super) waiting: HashMap<QueuePosition, (GateSession<Admitted>, MonoTime, usize)>,
    /// Share of the domain's callers that are connected here.
    pub(super) weight: f64,
}

impl ReplayFleet {
    pub(super) fn new(pattern: &LoadPattern, random: &mut ChaCha8Rng) -> Self {
        let domain = |index: usize| format!("d{index}");
        let name = |domain: &str, index: usize| format!("{domain}-{index:03}");
        let regions: HashMap<String, String> =
            (0..pattern.domains).map(|index| (domain(index), "r".to_owned())).collect();
        let map = (0..pattern.domains)
            .map(|index| {
                let domain = domain(index);
                let names = (0..pattern.instances).map(|index| name(&domain, index)).collect();
                (domain, names)
            })
            .collect();
        let instances = InstanceMap { own: String::new(), domains: map };
        let (mut registry, mut entries, mut targets) =
            (TargetRegistry::default(), Vec::new(), Vec::new());
        for domain in instances.domains.keys() {
            for index in 0..pattern.engines + pattern.services {
                let service = if index < pattern.engines { "llm" } else { "app" };
                let id = TargetId::new(&format!("{domain}-{service}-{index}"));
                let speed = if service == "llm" { SPEEDS[index % 3] } else { 1.0 };
                targets.push((id.clone(), service, TargetModel::new(pattern.slots, speed)));
                entries.push(TargetEntry {
                    id,
                    service: ServiceName::new(service),
                    address: SocketAddr::from(([127, 0, 0, 1], 1)),
                    domain: domain.clone(),
                    version: "v1".to_owned(),
                    slots: pattern.slots,
                    is_draining: false,
                    born: 1,
                    cold: ColdNotice::default(),
                });
            }
        }
        registry.replace(1, entries, MonoTime::from_millis(1));
        let (registry, table) = (Arc::new(registry), Arc::new(route_table(pattern.slots)));
        let mut nodes = Vec::new();
        for (domain, names) in &instances.domains {
            for name in names {
                let domains = DomainMap { own: domain.clone(), regions: regions.clone() };
                let mut core = GateCore::new(GateOptions { domains, ..GateOptions::default() });
                core.set_table(&table);
                core.set_registry(&registry);
                core.set_instances(&InstanceMap { own: name.clone(), ..instances.clone() });
                // Callers choose instances by a hash, two callers for each one.
                let weight = (0..2).map(|_| -random.random::<f64>().max(1e-9).ln()).sum();
                let (name, domain) = (name.clone(), domain.clone());
                nodes.push(ReplayNode { name, domain, core, waiting: HashMap::new(), weight });
            }
        }
        Self { nodes, targets }
    }
}

fn route_table(slots: u32) -> RouteTable {
    let route = |class: &RequestClass| RouteRule {
        name: class.name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}/", class.name),
        kind: match class.is_generation() {
            true => RequestKind::Stream { resumable: true },
            false => RequestKind::NonIdempotent,
        },
        timeout: class.patience,
        target_latency: class.target_latency,
        gap_target: class.is_generation().then_some(Duration::from_millis(500)),
        rank: class.rank,
        pools: vec![RoutePool { service: ServiceName::new(class.service()), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots, memory_tokens: 432_654, tokens_per_event: TOKENS_PER_EVENT };
    let rule = |name: &str, engine| ServiceRule {
        name: ServiceName::new(name),
        max_connections: 1_000,
        engine,
        cold: None,
    };
    let rules = [rule("llm", Some(engine)), rule("app", None)];
    RouteTable::new(1, RequestClass::ALL.iter().map(route), rules, [], CallerLimits::default())
}
