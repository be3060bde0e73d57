//! Many instances share the slots of the same targets, based on load reports that are outdated when
//! they arrive.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kwg_gate::{
    ColdNotice, DomainMap, GateDigest, InstanceMap, PlacementDecision, PlacementQuery, ServiceName,
    TargetEntry, TargetId, TargetKey, TargetRegistry, TargetTracker, VersionFilter,
};
use kwg_model::MonoTime;

const DOMAINS: [&str; 3] = ["graz", "wien", "ibk"];
const SLOTS: u32 = 9;
const TARGETS_EACH: usize = 5;
const INSTANCES_EACH: usize = 6;
const TICK_MS: u64 = 10;
const REPORT_MS: u64 = 200;
/// Interval at which the sum of a domain is sent to the other domains.
const DOMAIN_SUM_MS: u64 = 500;
/// Transit time of a sum.
const SUM_DELAY_MS: u64 = 30;
const HOLD_MS: u64 = 1_000;
/// Start of the measurement of slot use, one second after the burst of the first test begins.
const MEASURED_FROM_MS: u64 = 4_000;
const TOTAL_SLOTS: f64 = SLOTS as f64 * (TARGETS_EACH * DOMAINS.len()) as f64;

fn registry() -> TargetRegistry {
    let mut registry = TargetRegistry::default();
    let entries = DOMAINS.iter().flat_map(|domain| {
        (0..TARGETS_EACH).map(move |number| TargetEntry {
            id: TargetId::new(&format!("{domain}-{number}")),
            service: ServiceName::new("llm"),
            address: "127.0.0.1:9".parse().expect("an address"),
            domain: (*domain).to_owned(),
            version: "v1".to_owned(),
            slots: SLOTS,
            is_draining: false,
            born: 1,
            cold: ColdNotice::default(),
        })
    });
    registry.replace(1, entries, MonoTime::ZERO);
    registry
}

fn names(domain: &str) -> Vec<String> {
    (0..INSTANCES_EACH).map(|number| format!("{domain}-node-{number}")).collect()
}

/// Maximum number of requests at one target that still all start in time. Each request beyond the
/// slots waits a ninth of a request's time, and the first event is due after 400 ms.
const MAX_ON_TIME_LOAD: u32 = SLOTS + 3;

/// Share of the requests that may be sent to a target with a higher load: 95 in 100 must be on
/// time.
const MAX_LATE_SHARE: f64 = 0.05;

/// Result of a simulation: the share of requests that were sent to an overloaded target, and the
/// mean share of all slots in use.
struct SimulationResult {
    overloaded: f64,
    used: f64,
}

/// Simulates a fleet with uneven traffic over its instances. `demand` returns the request rate at a
/// time in milliseconds, as a share of what the targets can serve.
fn simulate(demand: impl Fn(u64) -> f64) -> SimulationResult {
    let regions: HashMap<_, _> =
        DOMAINS.iter().map(|domain| ((*domain).to_owned(), "ost".to_owned())).collect();
    let domains: BTreeMap<_, _> =
        DOMAINS.iter().map(|domain| ((*domain).to_owned(), names(domain))).collect();
    let mut instances = Vec::new();
    for domain in DOMAINS {
        for own in names(domain) {
            let own_domain = domain.to_owned();
            let mut tracker =
                TargetTracker::new(DomainMap { own: own_domain, regions: regions.clone() });
            tracker.sync(&registry());
            tracker.set_instances(&InstanceMap { own: own.clone(), domains: domains.clone() });
            instances.push((own, domain, tracker));
        }
    }
    let count = instances.len();
    let index_of: HashMap<String, usize> =
        instances.iter().enumerate().map(|(index, (own, ..))| (own.clone(), index)).collect();
    let mut running: Vec<(u64, usize, TargetKey, TargetId)> = Vec::new();
    let mut waiting = vec![0_u32; count];
    let mut load: HashMap<TargetId, u32> = HashMap::new();
    let mut last_digests: HashMap<usize, GateDigest> = HashMap::new();
    let mut in_flight: Vec<(u64, usize, String, GateDigest)> = Vec::new();
    let (mut sent, mut overloaded) = (0_u32, 0_u32);
    let (mut used, mut samples, mut seed) = (0.0, 0, 0.37_f64);
    let mut draw = move || {
        seed = (seed * 9_301.0 + 0.497_1).fract();
        seed
    };
    for now_ms in (0..12_000).step_by(TICK_MS as usize) {
        let now = MonoTime::from_millis(now_ms + 1);
        running.retain(|(end, index, key, id)| {
            let stays = *end > now_ms;
            if !stays {
                instances[*index].2.end_attempt(*key);
                *load.get_mut(id).expect("it began") -= 1;
            }
            stays
        });
        for (_, to, from, digest) in in_flight.extract_if(.., |(at, ..)| *at <= now_ms) {
            instances[to].2.apply_digest(&from, &digest, now);
        }
        for (number, domain) in DOMAINS.iter().enumerate() {
            if now_ms % DOMAIN_SUM_MS == number as u64 * 100 {
                let members =
                    last_digests.iter().filter(|(index, _)| instances[**index].1 == *domain);
                let sum =
                    GateDigest::sum(&GateDigest::default(), members.map(|(_, digest)| digest));
                for (to, _) in
                    instances.iter().enumerate().filter(|(_, tracker)| tracker.1 != *domain)
                {
                    let from = InstanceMap::domain_peer_name(domain);
                    in_flight.push((now_ms + SUM_DELAY_MS, to, from, sum.clone()));
                }
            }
        }
        for index in 0..count {
            // A third of the instances gets two thirds of the requests.
            let weight = if index % 3 == 0 { 2.0 } else { 0.5 };
            let rate = demand(now_ms) * TOTAL_SLOTS * 1e3 / HOLD_MS as f64;
            let expected = rate * weight / count as f64 * TICK_MS as f64 / 1e3;
            waiting[index] += (expected + draw()).floor() as u32;
            waiting[index] = waiting[index].min(6);
            if now_ms % REPORT_MS == (index as u64 * 30) % REPORT_MS {
                let all: u32 = waiting.iter().sum();
                let share = match all {
                    0 => 0.1 / count as f64,
                    _ => f64::from(waiting[index]) / f64::from(all),
                };
                let has_waiting = |peer: &str, _: &str| Some(waiting[index_of[peer]] > 0);
                instances[index].2.claim_slots(|_| share, has_waiting, draw(), now);
                let digest =
                    GateDigest { targets: instances[index].2.reports(), ..Default::default() };
                let (from, domain) = (instances[index].0.clone(), instances[index].1);
                for (to, (_, other, _)) in
                    instances.iter().enumerate().filter(|(to, _)| *to != index)
                {
                    if *other == domain {
                        in_flight.push((now_ms + TICK_MS, to, from.clone(), digest.clone()));
                    }
                }
                last_digests.insert(index, digest);
            }
            while waiting[index] > 0 {
                let query = PlacementQuery {
                    service: "llm",
                    prompt_tokens: 600,
                    output_tokens: 300,
                    tokens_per_event: 7.0,
                    left: Duration::from_secs(10),
                    on_engine: true,
                    target_latency: Duration::from_millis(400),
                    gap_target: Some(Duration::from_millis(300)),
                    is_contended: waiting.iter().sum::<u32>() > waiting[index],
                    tried: &[],
                    version: VersionFilter::Any,
                    regions: None,
                    is_last_resort: false,
                };
                let PlacementDecision::Send(placement) =
                    instances[index].2.place(&query, now, draw())
                else {
                    break;
                };
                waiting[index] -= 1;
                let id = instances[index].2.entry(placement.target).expect("known").id.clone();
                instances[index].2.begin_attempt(placement.target, 0);
                let hold = (HOLD_MS as f64 * (0.5 + draw())) as u64;
                let load = load.entry(id.clone()).or_default();
                *load += 1;
                sent += 1;
                overloaded += u32::from(*load > MAX_ON_TIME_LOAD);
                running.push((now_ms + hold, index, placement.target, id));
            }
        }
        if now_ms >= MEASURED_FROM_MS {
            used += f64::from(load.values().map(|load| (*load).min(SLOTS)).sum::<u32>());
            samples += 1;
        }
    }
    let overloaded = f64::from(overloaded) / f64::from(sent);
    SimulationResult { overloaded, used: used / f64::from(samples) / TOTAL_SLOTS }
}

#[test]
fn a_burst_fills_the_slots_of_the_targets_and_not_their_queues() {
    // The operators' traffic has bursts of 1.5 to 2.4 times the usual rate.
    let result = simulate(|now_ms| if now_ms < 3_000 { 0.85 } else { 0.85 * 2.4 });
    assert!(
        result.overloaded < MAX_LATE_SHARE,
        "{:.3} sent to an overloaded target",
        result.overloaded
    );
    assert!(result.used > 0.9, "{:.2} of the slots in use", result.used);
}

#[test]
fn instances_that_see_the_same_idle_targets_spread() {
    let result = simulate(|_| 0.5);
    assert!(
        result.overloaded < MAX_LATE_SHARE,
        "{:.3} sent to an overloaded target",
        result.overloaded
    );
    assert!(result.used > 0.45, "{:.2} of the slots in use", result.used);
}
