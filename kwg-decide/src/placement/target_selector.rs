use std::collections::HashMap;
use std::time::Duration;

use kwg_model::{FleetSnapshot, MonoTime, PoolName, PoolRow, TargetName, TargetRow};
use rand::Rng;

use crate::VersionSplit;

use super::{PlacementOptions, PlacementRequest, TargetChoice, TargetHealth};

/// Selects targets for requests, by one core's own load and speed records of each target.
#[derive(Debug, Default)]
pub struct TargetSelector {
    options: PlacementOptions,
    targets: HashMap<(PoolName, TargetName), TargetHealth>,
}

impl TargetSelector {
    /// Creates a selector without any records.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self { options, targets: HashMap::new() }
    }

    /// Selects a target: the canary's target if it has capacity, otherwise the one of two random
    /// targets with capacity that has the earlier expected finish.
    ///
    /// A target without a stream of this core is not checked against the token limit, so that it
    /// accepts a request of any size. Returns `None` if no target has capacity or the remaining
    /// capacity is reserved for higher tiers.
    pub fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<TargetChoice> {
        let pool = request.pool;
        let version = VersionSplit::choose(request.fleet, pool, rng);
        let serving = pool.targets.iter().filter(|row| VersionSplit::serves(pool, row, version));
        let serving: Vec<&TargetRow> = serving.collect();
        if !self.leaves_reserve(request, &serving) {
            return None;
        }
        let straggler_speed = self.straggler_speed(request, &serving);
        let available =
            serving.into_iter().filter(|row| self.has_capacity(request, row, straggler_speed));
        let available: Vec<&TargetRow> = available.collect();
        let first = pick_random(&available, rng)?;
        let second = pick_random(&available, rng)?;
        let saturated = VersionSplit::saturated_target(pool);
        let saturated = available.iter().copied().find(|row| Some(&row.name) == saturated);
        let row = match saturated {
            Some(row) => row,
            None if self.expected_time(request, second) < self.expected_time(request, first) => {
                second
            }
            None => first,
        };
        let permit = self.health(pool, &row.name).gauge.acquire(request.cost_tokens);
        Some(TargetChoice {
            pool: pool.name.clone(),
            kind: pool.kind,
            target: row.name.clone(),
            address: row.address,
            version: version.clone(),
            permit,
        })
    }

    /// Records a refused connection and pauses new work to the target.
    pub fn record_refusal(&mut self, now: MonoTime, pool: &PoolName, target: &TargetName) {
        let (pause, longest) = (self.options.refusal_pause, self.options.longest_pause);
        if let Some(health) = self.targets.get_mut(&(pool.clone(), target.clone())) {
            let pause = pause * 2_u32.saturating_pow(health.refusals);
            health.refusals = health.refusals.saturating_add(1);
            health.paused_until = now + pause.min(longest);
        }
    }

    /// Records a complete answer of `tokens` tokens that took `span`.
    pub fn record_answer(
        &mut self,
        pool: &PoolName,
        target: &TargetName,
        tokens: u64,
        span: Duration,
    ) {
        if let Some(health) = self.targets.get_mut(&(pool.clone(), target.clone())) {
            health.observe(tokens, span);
        }
    }

    /// Returns the earliest end of a current pause, if any target is paused.
    #[must_use]
    pub fn next_pause_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.targets.values().map(|health| health.paused_until).filter(|until| *until > now).min()
    }

    /// Drops the records of targets that are no longer in the pool table.
    pub fn retain_listed(&mut self, fleet: &FleetSnapshot) {
        self.targets.retain(|(pool, target), _| {
            let row = fleet.tables.pools.get(pool);
            row.is_some_and(|row| row.targets.iter().any(|known| known.name == *target))
        });
    }

    fn health(&mut self, pool: &PoolRow, target: &TargetName) -> &mut TargetHealth {
        let speed = self.options.initial_tokens_per_second;
        self.targets
            .entry((pool.name.clone(), target.clone()))
            .or_insert_with(|| TargetHealth::new(speed))
    }

    /// Returns whether the pool has enough free streams for a request of this tier.
    ///
    /// Some streams are reserved for higher tiers, so that urgent requests start at once.
    fn leaves_reserve(&mut self, request: &PlacementRequest<'_>, rows: &[&TargetRow]) -> bool {
        let percent = self.options.reserve_percent[request.tier.index()];
        if percent == 0 {
            return true;
        }
        let (mut total, mut used) = (0, 0);
        for row in rows {
            // The capacity of an unreachable target does not count as reserve.
            let health = self.health(request.pool, &row.name);
            if request.now >= health.paused_until && health.refusals == 0 {
                used += health.gauge.streams();
                total += stream_share(request, row);
            }
        }
        used == 0 || total.saturating_sub(used) * 100 > total * percent
    }

    /// Returns the speed below which a target of the pool is a straggler, or zero if the speeds
    /// of too few targets are known.
    fn straggler_speed(&mut self, request: &PlacementRequest<'_>, rows: &[&TargetRow]) -> f64 {
        const MIN_KNOWN_SPEEDS: usize = 3;
        let samples = self.options.speed_samples;
        let mut speeds: Vec<f64> = Vec::new();
        for row in rows {
            let health = self.health(request.pool, &row.name);
            if health.samples >= samples {
                speeds.push(health.tokens_per_second);
            }
        }
        if speeds.len() < MIN_KNOWN_SPEEDS {
            return 0.0;
        }
        speeds.sort_by(f64::total_cmp);
        speeds[speeds.len() / 2] * self.options.straggler_percent / 100.0
    }

    fn has_capacity(
        &mut self,
        request: &PlacementRequest<'_>,
        row: &TargetRow,
        straggler_speed: f64,
    ) -> bool {
        if request.fleet.leaving.contains(&row.name) {
            return false;
        }
        let samples = self.options.speed_samples;
        let token_share = request.share.share_of(row.limit_tokens, salt(row));
        let stream_share = stream_share(request, row);
        let health = self.health(request.pool, &row.name);
        let (tokens, streams) = (health.gauge.tokens(), health.gauge.streams());
        // A straggler gets one request at a time, which shows when it has recovered.
        let is_straggler = health.samples >= samples && health.tokens_per_second < straggler_speed;
        let has_stream = streams < if is_straggler { 1 } else { stream_share };
        let has_tokens = streams == 0 || tokens + request.cost_tokens <= token_share;
        request.now >= health.paused_until && has_stream && has_tokens
    }

    /// Returns the expected time to finish the request, in seconds, including the penalty for
    /// another region.
    fn expected_time(&mut self, request: &PlacementRequest<'_>, row: &TargetRow) -> f64 {
        let penalty = self.options.cross_region_penalty.as_secs_f64();
        let region_penalty = if row.region == *request.region { 0.0 } else { penalty };
        self.health(request.pool, &row.name).expected_seconds(request.cost_tokens) + region_penalty
    }
}

fn pick_random<'a>(rows: &[&'a TargetRow], rng: &mut impl Rng) -> Option<&'a TargetRow> {
    (!rows.is_empty()).then(|| rows[rng.random_range(0..rows.len())])
}

/// Returns the salt that gives the remainder of a limit to different cores for each target.
fn salt(row: &TargetRow) -> u64 {
    u64::from(row.address.port()) + row.name.as_str().bytes().map(u64::from).sum::<u64>()
}

/// Returns this core's share of a target's streams, which may be zero if there are many cores.
fn stream_share(request: &PlacementRequest<'_>, row: &TargetRow) -> u64 {
    request.share.share_of(row.limit_streams, salt(row))
}
