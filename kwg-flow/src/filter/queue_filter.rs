use std::collections::BTreeMap;

use kwg_decide::{QueueEntry, QueueOptions, QueueVerdict, TierQueue};
use kwg_model::{MonoTime, PoolName, ServiceTier};

use crate::{Admitted, RequestFlow};

/// Queues in which admitted requests wait for capacity at a target of their pool.
#[derive(Debug)]
pub(crate) struct QueueFilter {
    options: QueueOptions,
    pools: BTreeMap<PoolName, TierQueue<RequestFlow<Admitted>>>,
}

impl QueueFilter {
    pub(crate) fn new(options: QueueOptions) -> Self {
        Self { options, pools: BTreeMap::new() }
    }

    /// Queues a request. Returns the requests that were shed, possibly including `flow` itself.
    pub(crate) fn offer(&mut self, flow: RequestFlow<Admitted>) -> Vec<RequestFlow<Admitted>> {
        let options = self.options;
        let queue = self.pools.entry(flow.pool().clone());
        let queue = queue.or_insert_with(|| TierQueue::new(options));
        let entry = QueueEntry {
            tier: flow.tier(),
            account: flow.submission().account.clone(),
            cost_tokens: flow.cost_tokens(),
            deadline: flow.deadline(),
            item: flow,
        };
        let shed = match queue.offer(entry) {
            QueueVerdict::Accepted(shed) => shed,
            QueueVerdict::Shed(entry) => vec![entry],
        };
        shed.into_iter().map(|entry| entry.item).collect()
    }

    /// Returns the pools that have queued requests.
    pub(crate) fn busy_pools(&self) -> Vec<PoolName> {
        let busy = self.pools.iter().filter(|(_, queue)| !queue.is_empty());
        busy.map(|(pool, _)| pool.clone()).collect()
    }

    /// Removes and returns the next request of a pool if `admits` accepts it.
    pub(crate) fn pop(
        &mut self,
        pool: &PoolName,
        admits: impl FnOnce(&RequestFlow<Admitted>) -> bool,
    ) -> Option<RequestFlow<Admitted>> {
        let queue = self.pools.get_mut(pool)?;
        queue.pop(|entry| admits(&entry.item)).map(|entry| entry.item)
    }

    /// Removes and returns every request whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: MonoTime) -> Vec<RequestFlow<Admitted>> {
        let expired = self.pools.values_mut().flat_map(|queue| queue.take_expired(now));
        expired.map(|entry| entry.item).collect()
    }

    /// Returns the time at which the next request expires.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.pools.values().filter_map(TierQueue::next_deadline).min()
    }

    /// Returns the number of queued requests of lower tiers than `tier`.
    pub(crate) fn len_below(&self, tier: ServiceTier) -> usize {
        self.pools.values().map(|queue| queue.len_below(tier)).sum()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.pools.values().map(TierQueue::len).sum()
    }
}
