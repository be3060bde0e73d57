use kwg_decide::{
    JudgeVerdict, MoveDriver, MoveInputs, QuantileTracker, SampleBatch, VersionSplit,
};
use kwg_model::{
    MovePhase, PoolKind, PoolName, PoolRow, RouteName, TargetName, VersionMove, VersionName,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fake_version::{BASE_FAILURE, FakeVersion, draw_time};
use super::trial_judge::TrialJudge;
use super::{JudgeKind, VersionKind};

/// Duration of a step of the trial, in milliseconds. Reports and circuit breaker messages arrive
/// within one step.
const STEP_MS: u64 = 250;
/// Time within which a move is to end, in milliseconds.
const WINDOW_MS: u64 = 1_800_000;
/// Requests per second over all routers: two for each of twelve targets.
const RATE: f64 = 24.0;
/// Share of the traffic of each route.
const ROUTE_WEIGHTS: [f64; 3] = [0.6, 0.3, 0.1];
/// Time without a leader after one has died, in milliseconds: a lease period and the takeover.
const LEADERLESS_MS: u64 = 9_000;
/// Load of a target while the new version gets no traffic, as a fraction of its limit. It rises
/// linearly to 1 as the new version's share rises to 100%.
const USUAL_LOAD: f64 = 0.5;
/// Number of targets in the pool.
const TARGETS: usize = 12;
/// Time that targets take to load a version, in milliseconds.
const LOADING_MS: u64 = 60_000;

/// One simulated move to a new version.
#[derive(Debug, Clone, Copy)]
pub struct MoveTrial {
    /// Seed of all random draws.
    pub seed: u64,
    /// How the new version behaves.
    pub kind: VersionKind,
    /// Judge of the new version.
    pub judge: JudgeKind,
    /// Whether the store is unavailable once, for up to ten minutes.
    pub outages: bool,
}

/// Result of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrialOutcome {
    /// Whether the move completed with the new version.
    pub is_done: bool,
    /// Whether the move ended within its window, by completion or rollback.
    pub in_time: bool,
    /// Whether the judge found the new version bad.
    pub was_judged_bad: bool,
    /// Largest traffic share of the new version, in percent.
    pub largest_share: u8,
    /// Requests sent to the new version more than a second after it was judged bad.
    pub late_requests: u64,
}

/// Faults of one trial, with times in milliseconds from its start.
struct TrialFaults {
    store_down: std::ops::Range<u64>,
    leader_dies_at: Option<u64>,
}

impl TrialFaults {
    fn draw(outages: bool, rng: &mut ChaCha8Rng) -> Self {
        let start = rng.random_range(0..WINDOW_MS);
        let length = if outages { rng.random_range(0..600_000) } else { 0 };
        let leader_dies_at = rng.random_bool(0.33).then(|| rng.random_range(0..WINDOW_MS));
        Self { store_down: start..start + length, leader_dies_at }
    }

    fn store_is_down(&self, now: u64) -> bool {
        self.store_down.contains(&now)
    }

    fn is_leaderless(&self, now: u64) -> bool {
        self.leader_dies_at.is_some_and(|at| (at..at + LEADERLESS_MS).contains(&now))
    }
}

impl MoveTrial {
    /// Runs the move until it completes or is rolled back.
    #[must_use]
    pub fn run(&self) -> TrialOutcome {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let routes: Vec<RouteName> = (0..ROUTE_WEIGHTS.len())
            .filter_map(|number| RouteName::new(format!("route{number}")).ok())
            .collect();
        let version = FakeVersion::draw(self.kind, routes.len(), &mut rng);
        let faults = TrialFaults::draw(self.outages, &mut rng);
        let (mut pool, driver) = (staged_pool(), MoveDriver::default());
        let mut judge = TrialJudge::new(self.judge, routes.len());
        let mut trackers = vec![QuantileTracker::new(0.9); routes.len()];
        let mut totals = vec![(SampleBatch::default(), SampleBatch::default()); routes.len()];
        let mut judged_bad_at: Option<u64> = None;
        let mut breaker_open = false;
        let (mut largest_share, mut late_requests) = (0, 0);
        let mut now = 0;
        loop {
            now += STEP_MS;
            let share = if breaker_open { 0 } else { VersionSplit::percent(&pool) };
            largest_share = largest_share.max(share);
            let is_canary = current_phase(&pool) == MovePhase::Canary;
            for (number, route) in routes.iter().enumerate() {
                let (mut old, mut new) = (SampleBatch::default(), SampleBatch::default());
                for _ in 0..arrivals(number, &mut rng) {
                    let is_new = rng.random_range(0..100) < share;
                    let elapsed = now as f64 / WINDOW_MS as f64;
                    let load = self.target_load(is_canary, share);
                    let (failed, time) = match is_new {
                        true => {
                            (version.fails(number, elapsed, load, &mut rng), version.time(&mut rng))
                        }
                        false => (rng.random_bool(BASE_FAILURE), draw_time(&mut rng)),
                    };
                    let limit = trackers[number].value().filter(|_| trackers[number].count() > 50);
                    let batch = if is_new { &mut new } else { &mut old };
                    batch.count += 1;
                    batch.failures += u64::from(failed);
                    if let (false, Some(limit)) = (failed, limit) {
                        batch.timed += 1;
                        batch.slow += u64::from(time > limit);
                    }
                    if !is_new && !failed {
                        trackers[number].add(time);
                    }
                }
                let is_late = judged_bad_at.is_some_and(|at| now > at + 1_000);
                late_requests += if is_late { new.count } else { 0 };
                judge.add(route, &old, &new, is_canary);
                totals[number].0.add(&old);
                totals[number].1.add(&new);
            }
            if faults.leader_dies_at.is_some_and(|at| (at..at + STEP_MS).contains(&now)) {
                // The next leader's judge gets the totals of each route as one batch, so the order
                // of the samples is lost. It starts at the death, not after `LEADERLESS_MS`.
                judge = TrialJudge::new(self.judge, routes.len());
                for (route, (old, new)) in routes.iter().zip(&totals) {
                    judge.add(route, old, new, is_canary);
                }
            }
            let verdict = judge.verdict();
            if matches!(verdict, JudgeVerdict::Bad(_)) && judged_bad_at.is_none() {
                // The circuit breaker opens without the leader or the store.
                judged_bad_at = Some(now);
                breaker_open = true;
            }
            if !faults.store_is_down(now) && !faults.is_leaderless(now) {
                advance_move(&mut pool, driver, now, &verdict, breaker_open);
            }
            let row = pool.version_move.as_ref().expect("a move is under way");
            if row.has_ended() {
                return TrialOutcome {
                    is_done: row.phase == MovePhase::Done,
                    in_time: now <= WINDOW_MS,
                    was_judged_bad: judged_bad_at.is_some(),
                    largest_share,
                    late_requests,
                };
            }
        }
    }

    /// Load of the targets that serve the new version, as a fraction of their limit.
    fn target_load(&self, is_canary: bool, share: u8) -> f64 {
        match self.judge {
            // With the sequential judge, the canary's target is loaded up to its limit, as by
            // placement. With the baselines its load follows the share.
            JudgeKind::Sequential if is_canary => 1.0,
            _ => USUAL_LOAD + (1.0 - USUAL_LOAD) * f64::from(share) / 100.0,
        }
    }
}

/// Advances the move by one step of its driver; targets report as loaded after `LOADING_MS`.
fn advance_move(
    pool: &mut PoolRow,
    driver: MoveDriver,
    now: u64,
    verdict: &JudgeVerdict,
    breaker_open: bool,
) {
    let Some(row) = &mut pool.version_move else { return };
    if row.phase == MovePhase::Loading && now >= row.phase_since_ms + LOADING_MS {
        row.loaded = pool.targets.iter().map(|target| target.name.clone()).collect();
    }
    let brake_evidence = breaker_open.then_some("braked");
    let inputs = MoveInputs { now_ms: now, targets: TARGETS, verdict, brake_evidence };
    if let Some(next) = driver.advance(row, &inputs) {
        *row = next;
    }
}

/// Phase of the pool's move, or `Done` if there is none.
fn current_phase(pool: &PoolRow) -> MovePhase {
    pool.version_move.as_ref().map_or(MovePhase::Done, |row| row.phase)
}

/// A pool whose move to `v2` has just been staged.
fn staged_pool() -> PoolRow {
    let version = |name: &str| VersionName::new(name).expect("a valid name");
    let target = |number: usize| kwg_model::TargetRow {
        name: TargetName::new(format!("e{number:02}")).expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: kwg_model::DomainName::new("ms-a").expect("a valid name"),
        region: kwg_model::RegionName::new("mid-south").expect("a valid name"),
        limit_tokens: 1_000,
        limit_streams: 100,
        version: version("v1"),
        heeds_fencing: true,
    };
    PoolRow {
        name: PoolName::new("loft").expect("a valid name"),
        kind: PoolKind::Engine,
        version: version("v1"),
        targets: (0..TARGETS).map(target).collect(),
        version_move: Some(VersionMove::stage(version("v2"), 0, WINDOW_MS)),
    }
}

/// Draws the number of requests of a route in one step.
fn arrivals(route: usize, rng: &mut ChaCha8Rng) -> u64 {
    let mean = RATE * ROUTE_WEIGHTS[route] * STEP_MS as f64 / 1_000.0;
    // Many independent callers make a Poisson process; Knuth's method draws the count.
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
