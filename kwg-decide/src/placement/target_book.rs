use std::collections::HashMap;
use std::time::Duration;

use kwg_model::{FleetSnapshot, MonoTime, PoolName, PoolRow, TargetName, TargetRow};
use rand::Rng;

use crate::VersionSplit;

use super::{PlacementOptions, PlacementRequest, TargetChoice, TargetHealth};

/// What one core knows of the targets that it uses, and the choice among them.
#[derive(Debug, Default)]
pub struct TargetBook {
    options: PlacementOptions,
    targets: HashMap<(PoolName, TargetName), TargetHealth>,
}

impl TargetBook {
    /// A book that knows no target yet.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self { options, targets: HashMap::new() }
    }

    /// Chooses between two random targets of the pool that have room, by expected finish.
    ///
    /// A target with no stream of this core takes a request of any size. `None` if none has
    /// room.
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
        let slow = self.slow_speed(request, &serving);
        let ready = serving.into_iter().filter(|row| self.has_room(request, row, slow));
        let ready: Vec<&TargetRow> = ready.collect();
        let first = pick(&ready, rng)?;
        let second = pick(&ready, rng)?;
        let filled = VersionSplit::filled_first(pool);
        let filled = ready.iter().copied().find(|row| Some(&row.name) == filled);
        let row = match filled {
            Some(row) => row,
            None if self.expected(request, second) < self.expected(request, first) => second,
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

    /// Notes that a target refused a connection: it gets no work for a while.
    pub fn note_refusal(&mut self, now: MonoTime, pool: &PoolName, target: &TargetName) {
        let (pause, longest) = (self.options.refusal_pause, self.options.longest_pause);
        if let Some(health) = self.targets.get_mut(&(pool.clone(), target.clone())) {
            let pause = pause * 2_u32.saturating_pow(health.refusals);
            health.refusals = health.refusals.saturating_add(1);
            health.paused_until = now + pause.min(longest);
        }
    }

    /// Notes a whole answer of `tokens` tokens that took `span`.
    pub fn note_answer(
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

    /// When the next pause of a target ends, if one is under way.
    #[must_use]
    pub fn next_resumption(&self, now: MonoTime) -> Option<MonoTime> {
        self.targets.values().map(|health| health.paused_until).filter(|until| *until > now).min()
    }

    /// Drops what is known of targets that are in no table any more.
    pub fn retain_known(&mut self, fleet: &FleetSnapshot) {
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

    /// Whether the pool has enough free streams for a request of this tier: some are kept for
    /// the tiers above it, so that urgent requests find room at once.
    fn leaves_reserve(&mut self, request: &PlacementRequest<'_>, rows: &[&TargetRow]) -> bool {
        let percent = self.options.reserve_percent[request.tier.index()];
        if percent == 0 {
            return true;
        }
        let (mut total, mut used) = (0, 0);
        for row in rows {
            // What a target that is away would have is no reserve.
            let health = self.health(request.pool, &row.name);
            if request.now >= health.paused_until && health.refusals == 0 {
                used += health.gauge.streams();
                total += stream_share(request, row);
            }
        }
        used == 0 || total.saturating_sub(used) * 100 > total * percent
    }

    /// The speed below which a target of the pool is a straggler, once enough are known.
    fn slow_speed(&mut self, request: &PlacementRequest<'_>, rows: &[&TargetRow]) -> f64 {
        const KNOWN_MIN: usize = 3;
        let samples = self.options.speed_samples;
        let mut speeds: Vec<f64> = Vec::new();
        for row in rows {
            let health = self.health(request.pool, &row.name);
            if health.samples >= samples {
                speeds.push(health.tokens_per_second);
            }
        }
        if speeds.len() < KNOWN_MIN {
            return 0.0;
        }
        speeds.sort_by(f64::total_cmp);
        speeds[speeds.len() / 2] * self.options.straggler_percent / 100.0
    }

    fn has_room(
        &mut self,
        request: &PlacementRequest<'_>,
        row: &TargetRow,
        slow_speed: f64,
    ) -> bool {
        if request.fleet.leaving.contains(&row.name) {
            return false;
        }
        let samples = self.options.speed_samples;
        let token_share = request.share.of(row.limit_tokens, salt(row));
        let stream_share = stream_share(request, row);
        let health = self.health(request.pool, &row.name);
        let (tokens, streams) = (health.gauge.tokens(), health.gauge.streams());
        // A straggler gets one request at a time, by which it is known to have recovered.
        let is_slow = health.samples >= samples && health.tokens_per_second < slow_speed;
        let has_stream = streams < if is_slow { 1 } else { stream_share };
        let has_tokens = streams == 0 || tokens + request.cost_tokens <= token_share;
        request.now >= health.paused_until && has_stream && has_tokens
    }

    fn expected(&mut self, request: &PlacementRequest<'_>, row: &TargetRow) -> f64 {
        let penalty = self.options.cross_region_penalty.as_secs_f64();
        let distance = if row.region == *request.region { 0.0 } else { penalty };
        self.health(request.pool, &row.name).expected_seconds(request.cost_tokens) + distance
    }
}

fn pick<'a>(rows: &[&'a TargetRow], rng: &mut impl Rng) -> Option<&'a TargetRow> {
    (!rows.is_empty()).then(|| rows[rng.random_range(0..rows.len())])
}

/// Spreads what does not divide over the cores, another way for each target.
fn salt(row: &TargetRow) -> u64 {
    u64::from(row.address.port()) + row.name.as_str().bytes().map(u64::from).sum::<u64>()
}

/// This core's part of a target's streams. With many cores it may be none at some targets.
fn stream_share(request: &PlacementRequest<'_>, row: &TargetRow) -> u64 {
    request.share.of(row.limit_streams, salt(row))
}
