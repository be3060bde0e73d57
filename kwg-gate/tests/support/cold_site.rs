//! Engines that tolerate few requests a second after their start, and an instance in front of them.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    CallerLimits, ColdNotice, ColdOptions, ColdRule, DomainMap, EngineRule, GateCore, GateOptions,
    RegionBound, RequestDetails, RequestKind, RoutePool, RouteRule, RouteTable, ServiceName,
    ServiceRule, TargetEntry, TargetId,
};
use kwg_model::MonoTime;

/// Requests a second that a cold engine tolerates.
pub const COLD_PER_S: f64 = 11.0;
/// Tolerance of all instances together.
pub const OPTIONS: ColdOptions = ColdOptions { overshoot: 1.5, slack: 5.0 };
/// Most requests that may arrive at a cold engine in any one second.
pub const BOUND: usize = 21;
/// Time for which an engine is cold.
pub const COLD_MS: u64 = 8_000;
/// Slots of an engine.
pub const SLOTS: u32 = 6;
/// Engines of the failure domain that returns.
pub const RETURNING: usize = 19;
/// Deterministic numbers in [0, 1).
#[derive(Debug)]
pub struct Draws(pub u64);

impl Draws {
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn millis(&mut self, below: u64) -> u64 {
        (self.next() * below as f64) as u64
    }
}

pub fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub fn domain_name(index: usize) -> String {
    format!("d{index}")
}

pub fn entry(domain: usize, index: usize, born: u64, cold_ms: u64) -> TargetEntry {
    let port = u16::try_from(index + 1).expect("few engines");
    TargetEntry {
        id: TargetId::new(&format!("e-{domain}-{index}")),
        service: ServiceName::new("llm"),
        address: SocketAddr::from(([127, 0, 0, domain as u8 + 1], port)),
        domain: domain_name(domain),
        version: "v1".to_owned(),
        slots: SLOTS,
        is_draining: false,
        born,
        cold: ColdNotice::written(Some(Duration::from_millis(cold_ms)), born),
    }
}

/// An instance of one of so many domains, of which the first half is one region.
pub fn core(domains: usize, domain: &str, rule: Option<ColdRule>) -> GateCore {
    let region = |index: usize| if index < domains.div_ceil(2) { "ost" } else { "west" };
    let regions = (0..domains).map(|index| (domain_name(index), region(index).to_owned()));
    let map = DomainMap { own: domain.to_owned(), regions: regions.collect() };
    let mut core =
        GateCore::new(GateOptions { domains: map, cold: OPTIONS, ..GateOptions::default() });
    let service = ServiceName::new("llm");
    let route = RouteRule {
        name: "draft".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(12),
        target_latency: Duration::from_secs(6),
        gap_target: None,
        rank: 0,
        pools: vec![RoutePool { service: service.clone(), weight: 1 }],
        max_attempts: 2,
        allows_anonymous: true,
        regions: RegionBound::default(),
    };
    let engine = EngineRule { slots: SLOTS, memory_tokens: 100_000, tokens_per_event: 1.0 };
    let rule =
        ServiceRule { name: service, max_connections: 100, engine: Some(engine), cold: rule };
    let table = RouteTable::new(1, [route], [rule], [], CallerLimits::default());
    core.set_table(&Arc::new(table));
    core
}

/// A request that arrives now.
pub fn request(number: u64, now: MonoTime) -> RequestDetails {
    RequestDetails {
        id: format!("r{number}"),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: now,
        deadline: now + Duration::from_secs(12),
        fingerprint: number,
    }
}

/// Most requests that arrived at one engine in any one second that begins between two times.
pub fn worst_second(arrivals: &BTreeMap<String, Vec<u64>>, from: u64, to: u64) -> usize {
    let worst = |arrivals: &Vec<u64>| {
        let mut sorted = arrivals.clone();
        sorted.sort_unstable();
        let count = |first: usize| {
            let end = sorted[first] + 1_000;
            sorted[first..].iter().take_while(|millis| **millis < end).count()
        };
        let begins = |index: &usize| (from..to).contains(&sorted[*index]);
        (0..sorted.len()).filter(begins).map(count).max().unwrap_or(0)
    };
    arrivals.values().map(worst).max().unwrap_or(0)
}
