use std::time::Duration;

use kwg_decide::{PlacementOptions, PlacementRequest, TargetChoice, TargetSelector};
use kwg_model::{FleetSnapshot, MonoTime, PoolName, ServiceTier, TargetName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::FlowContext;

/// Selects a target with free capacity for a request.
#[derive(Debug)]
pub(crate) struct PlaceFilter {
    targets: TargetSelector,
    rng: ChaCha8Rng,
}

impl PlaceFilter {
    pub(crate) fn new(options: PlacementOptions, seed: u64) -> Self {
        Self { targets: TargetSelector::new(options), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the target for a request of this cost, or `None` if the pool does not exist, no
    /// target has capacity, or the rest is reserved for higher tiers.
    pub(crate) fn apply(
        &mut self,
        context: &FlowContext<'_>,
        pool: &PoolName,
        tier: ServiceTier,
        cost_tokens: u64,
    ) -> Option<TargetChoice> {
        let request = PlacementRequest {
            now: context.now,
            fleet: context.fleet,
            pool: context.fleet.tables.pools.get(pool)?,
            region: &context.identity.region,
            tier,
            cost_tokens,
            share: context.limit_share(),
        };
        self.targets.choose(&request, &mut self.rng)
    }

    pub(crate) fn record_refusal(&mut self, now: MonoTime, pool: &PoolName, target: &TargetName) {
        self.targets.record_refusal(now, pool, target);
    }

    pub(crate) fn record_answer(
        &mut self,
        pool: &PoolName,
        target: &TargetName,
        tokens: u64,
        span: Duration,
    ) {
        self.targets.record_answer(pool, target, tokens, span);
    }

    pub(crate) fn retain_listed(&mut self, fleet: &FleetSnapshot) {
        self.targets.retain_listed(fleet);
    }

    pub(crate) fn next_pause_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.targets.next_pause_end(now)
    }
}
