use std::time::Instant;

use kwg_decide::{
    LedgerOptions, LimitShare, PlacementOptions, PlacementRequest, QueueEntry, QueueOptions,
    TargetSelector, TicketLedger, TierQueue,
};
use kwg_model::{
    AccountName, ClaimId, DomainName, FleetSnapshot, HomeAddress, InstanceName, MonoTime, PoolKind,
    PoolName, PoolRow, RegionName, ServiceTier, TargetName, TargetRow, VersionName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of timed decisions of each kind.
const ROUNDS: u32 = 20_000;
/// Targets per pool, at any fleet size.
const POOL_TARGETS: usize = 12;

/// Measures the time of single decisions.
#[derive(Debug, Clone, Copy)]
pub struct DecideScale;

/// Mean times of decisions, in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecideCost {
    /// Number of targets in all pools.
    pub targets: usize,
    /// Claiming a ticket.
    pub claim: f64,
    /// Adding an entry to a queue of a thousand and removing one.
    pub queue: f64,
    /// Choosing a target, and releasing its permit again.
    pub placement: f64,
}

impl DecideScale {
    /// Measures decisions with `targets` targets in pools of twelve.
    #[must_use]
    pub fn run(targets: usize) -> DecideCost {
        DecideCost { targets, claim: claim(), queue: queue(), placement: placement(targets) }
    }
}

/// Mean time of `ROUNDS` rounds, in nanoseconds.
fn mean_nanos(round: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..ROUNDS).for_each(round);
    start.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn account(number: u32) -> AccountName {
    AccountName::new(format!("account{number}")).expect("a valid name")
}

fn claim() -> f64 {
    let instance = InstanceName::new("r1").expect("a valid name");
    let home = HomeAddress { instance, incarnation: 1, shard: 0 };
    let mut ledger = TicketLedger::open(home.clone(), LedgerOptions::default());
    let tickets =
        ledger.mint(MonoTime::ZERO, &account(0), ROUNDS as usize).expect("the ledger has capacity");
    mean_nanos(|round| {
        let claim_id = ClaimId { claimer: home.clone(), attempt: u64::from(round) };
        ledger.claim(MonoTime::ZERO, &tickets[round as usize], &claim_id);
    })
}

fn queue() -> f64 {
    let mut queue = TierQueue::new(QueueOptions { max_tokens: 1 << 40, max_entries: 1 << 20 });
    let entry = |number: u32| QueueEntry {
        tier: ServiceTier::new((number % 5) as u8).expect("in range"),
        account: account(number % 220),
        cost_tokens: 100,
        deadline: MonoTime::from_millis(1_000),
        item: number,
    };
    (0..1_000).for_each(|number| drop(queue.offer(entry(number))));
    mean_nanos(|round| {
        queue.offer(entry(round));
        queue.pop(|_| true);
    })
}

fn placement(targets: usize) -> f64 {
    let (domain, region) = ("domain", RegionName::new("ost").expect("a valid name"));
    let version = VersionName::new("v1").expect("a valid name");
    let pools: Vec<PoolRow> = (0..targets.div_ceil(POOL_TARGETS))
        .map(|pool| PoolRow {
            name: PoolName::new(format!("pool{pool}")).expect("a valid name"),
            kind: PoolKind::Engine,
            version: version.clone(),
            targets: (0..POOL_TARGETS)
                .map(|number| TargetRow {
                    name: TargetName::new(format!("e{pool}-{number}")).expect("a valid name"),
                    address: "127.0.0.1:1".parse().expect("an address"),
                    domain: DomainName::new(domain).expect("a valid name"),
                    region: region.clone(),
                    limit_tokens: 100_000,
                    limit_streams: 64,
                    version: version.clone(),
                    heeds_fencing: true,
                })
                .collect(),
            version_move: None,
        })
        .collect();
    let (mut selector, mut rng) =
        (TargetSelector::new(PlacementOptions::default()), ChaCha8Rng::seed_from_u64(1));
    let fleet = FleetSnapshot::default();
    let mut round = |pool: &PoolRow| {
        let request = PlacementRequest {
            now: MonoTime::ZERO,
            fleet: &fleet,
            pool,
            region: &region,
            tier: ServiceTier::new(2).expect("in range"),
            cost_tokens: 100,
            share: LimitShare { cores: 1, index: 0 },
        };
        drop(selector.choose(&request, &mut rng));
    };
    pools.iter().for_each(&mut round);
    mean_nanos(|number| round(&pools[number as usize % pools.len()]))
}
