use std::time::Duration;

use kwg_decide::{PlacementOptions, PlacementRequest, TargetBook, TargetChoice};
use kwg_model::{FleetSnapshot, MonoTime, PoolName, ServiceTier, TargetName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::FlowContext;

/// Gives a request a target that has room for it.
#[derive(Debug)]
pub(crate) struct PlaceFilter {
    book: TargetBook,
    rng: ChaCha8Rng,
}

impl PlaceFilter {
    pub(crate) fn new(options: PlacementOptions, seed: u64) -> Self {
        Self { book: TargetBook::new(options), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The target for a request of this cost, if one of the pool has room.
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
        self.book.choose(&request, &mut self.rng)
    }

    pub(crate) fn note_refusal(&mut self, now: MonoTime, pool: &PoolName, target: &TargetName) {
        self.book.note_refusal(now, pool, target);
    }

    pub(crate) fn note_answer(
        &mut self,
        pool: &PoolName,
        target: &TargetName,
        tokens: u64,
        span: Duration,
    ) {
        self.book.note_answer(pool, target, tokens, span);
    }

    pub(crate) fn retain_known(&mut self, fleet: &FleetSnapshot) {
        self.book.retain_known(fleet);
    }

    pub(crate) fn next_resumption(&self, now: MonoTime) -> Option<MonoTime> {
        self.book.next_resumption(now)
    }
}
