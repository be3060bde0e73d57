use std::collections::{BTreeSet, HashMap};

use kwg_model::MonoTime;

use crate::ServiceName;

/// Share of the free slots that go to the request that has waited longest, whatever its rank.
/// Without it the lowest rank would starve during a long overload.
const OLDEST_FIRST_SHARE: f64 = 0.12;

/// Requests that wait for capacity, in a queue per service: sorted by rank; among equals those that have
/// run before go first, then the earliest.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    services: HashMap<ServiceName, BTreeSet<QueuePosition>>,
    next_number: u64,
}

/// Position of a request in the queue; positions sort in the queue's order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    rank: u32,
    is_first_run: bool,
    since: MonoTime,
    number: u64,
}

impl QueuePosition {
    /// Whether the request has not run yet.
    #[must_use]
    pub fn is_first_run(&self) -> bool {
        self.is_first_run
    }
}

impl WaitQueue {
    /// Adds a request that arrived at `since` to the queue of a service.
    pub fn enter(&mut self, service: &ServiceName, rank: u32, since: MonoTime) -> QueuePosition {
        self.insert(service, rank, true, since)
    }

    /// Adds a request whose last run ended without an answer at `since`. It has not waited before
    /// that, so that long streams that are cut do not count as those that have waited longest.
    pub fn enter_again(
        &mut self,
        service: &ServiceName,
        rank: u32,
        since: MonoTime,
    ) -> QueuePosition {
        self.insert(service, rank, false, since)
    }

    fn insert(
        &mut self,
        service: &ServiceName,
        rank: u32,
        is_first_run: bool,
        since: MonoTime,
    ) -> QueuePosition {
        self.next_number += 1;
        let position = QueuePosition { rank, is_first_run, since, number: self.next_number };
        self.services.entry(service.clone()).or_default().insert(position);
        position
    }

    /// Removes a request from the queue of a service.
    pub fn leave(&mut self, service: &ServiceName, position: &QueuePosition) {
        if let Some(waiting) = self.services.get_mut(service) {
            waiting.remove(position);
        }
    }

    /// The request that gets the next free slot of a service. `draw` is a uniform random number in
    /// [0, 1): below 0.12 the request that has waited longest gets the slot, otherwise the first
    /// one in the queue.
    #[must_use]
    pub fn next(&self, service: &ServiceName, draw: f64) -> Option<QueuePosition> {
        self.next_where(service, draw, |_| true)
    }

    /// As [`Self::next`], of the requests for which `may_use` returns true.
    #[must_use]
    pub fn next_where(
        &self,
        service: &ServiceName,
        draw: f64,
        may_use: impl Fn(&QueuePosition) -> bool,
    ) -> Option<QueuePosition> {
        let mut waiting = self.services.get(service)?.iter().filter(|position| may_use(position));
        match draw < OLDEST_FIRST_SHARE {
            true => waiting.min_by_key(|position| position.since).copied(),
            false => waiting.next().copied(),
        }
    }

    /// Number of requests that wait for a service.
    #[must_use]
    pub fn count(&self, service: &str) -> u32 {
        let waiting = self.services.iter().find(|(name, _)| name.as_str() == service);
        waiting.map_or(0, |(_, waiting)| u32::try_from(waiting.len()).unwrap_or(u32::MAX))
    }

    /// Number of waiting requests by service.
    pub fn counts(&self) -> impl Iterator<Item = (&ServiceName, usize)> {
        self.services.iter().map(|(service, waiting)| (service, waiting.len()))
    }
}
