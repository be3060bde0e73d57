use std::collections::{HashMap, VecDeque};

use kwg_model::{PoolName, TargetName, TicketKey, UnknownReason};

use crate::{Dispatched, RequestFlow};

/// A stream being resumed, with the targets that may hold it.
#[derive(Debug)]
pub(crate) struct TargetSearch {
    /// Pool of the targets.
    pub(crate) pool: PoolName,
    /// Target that is being read.
    pub(crate) current: TargetName,
    /// Targets to try next.
    pub(crate) others: VecDeque<TargetName>,
    /// How many more times the connection to the current target may fail without a new byte.
    pub(crate) attempts_left: u32,
    /// Reason reported to the caller if no target holds the stream.
    pub(crate) reason: UnknownReason,
    /// The request, if this core dispatched it.
    pub(crate) flow: Option<RequestFlow<Dispatched>>,
}

/// Next step after a target did not deliver the stream.
#[derive(Debug)]
pub(crate) enum SearchStep {
    /// Retry the current target after a pause; holds the number of attempts so far.
    Retry(u32),
    /// Try the next target immediately.
    Next,
    /// No target holds the stream; holds the reason to report to the caller.
    Exhausted(UnknownReason),
    /// There is no search for this stream.
    None,
}

/// Streams being resumed, by ticket.
#[derive(Debug, Default)]
pub(crate) struct SearchTable(HashMap<TicketKey, TargetSearch>);

impl SearchTable {
    pub(crate) fn insert(&mut self, key: TicketKey, search: TargetSearch) {
        self.0.insert(key, search);
    }

    pub(crate) fn get_mut(&mut self, key: &TicketKey) -> Option<&mut TargetSearch> {
        self.0.get_mut(key)
    }

    pub(crate) fn take(&mut self, key: &TicketKey) -> Option<TargetSearch> {
        self.0.remove(key)
    }

    /// Handles a failed or interrupted connection to the current target: retries it while attempts
    /// are left, and otherwise moves on.
    pub(crate) fn on_broken(&mut self, key: &TicketKey, max_attempts: u32) -> SearchStep {
        match self.0.get_mut(key) {
            Some(search) if search.attempts_left > 0 => {
                search.attempts_left -= 1;
                SearchStep::Retry(max_attempts - search.attempts_left)
            }
            _ => self.on_missing(key, max_attempts),
        }
    }

    /// Handles a reply that the current target does not hold the stream, and moves on to the next
    /// target.
    pub(crate) fn on_missing(&mut self, key: &TicketKey, max_attempts: u32) -> SearchStep {
        let Some(search) = self.0.get_mut(key) else {
            return SearchStep::None;
        };
        match search.others.pop_front() {
            Some(target) => {
                search.current = target;
                search.attempts_left = max_attempts;
                SearchStep::Next
            }
            None => {
                let reason = search.reason;
                self.0.remove(key);
                SearchStep::Exhausted(reason)
            }
        }
    }
}
