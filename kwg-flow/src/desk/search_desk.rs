use std::collections::{HashMap, VecDeque};

use kwg_model::{PoolName, TargetName, TicketKey, UnknownReason};

use crate::{Dispatched, RequestFlow};

/// A stream that is being resumed: its target, or the targets that may hold it.
#[derive(Debug)]
pub(crate) struct TargetSearch {
    /// The pool.
    pub(crate) pool: PoolName,
    /// The target being asked.
    pub(crate) current: TargetName,
    /// The targets to ask after it.
    pub(crate) others: VecDeque<TargetName>,
    /// How often the current target may break off again without a new byte.
    pub(crate) tries_left: u32,
    /// What the caller is told if nobody holds the stream.
    pub(crate) reason: UnknownReason,
    /// The request, if this core dispatched it.
    pub(crate) flow: Option<RequestFlow<Dispatched>>,
}

/// How a search goes on after a target did not help.
#[derive(Debug)]
pub(crate) enum SearchStep {
    /// Ask the current target again after a pause; the number of tries so far.
    Again(u32),
    /// Ask the next target now.
    Next,
    /// Nobody holds the stream; what the caller is told.
    Exhausted(UnknownReason),
    /// No such search.
    None,
}

/// The streams that are being resumed.
#[derive(Debug, Default)]
pub(crate) struct SearchDesk(HashMap<TicketKey, TargetSearch>);

impl SearchDesk {
    pub(crate) fn insert(&mut self, key: TicketKey, search: TargetSearch) {
        self.0.insert(key, search);
    }

    pub(crate) fn get_mut(&mut self, key: &TicketKey) -> Option<&mut TargetSearch> {
        self.0.get_mut(key)
    }

    pub(crate) fn take(&mut self, key: &TicketKey) -> Option<TargetSearch> {
        self.0.remove(key)
    }

    /// The current target broke off or could not be reached.
    pub(crate) fn broke_off(&mut self, key: &TicketKey, tries: u32) -> SearchStep {
        match self.0.get_mut(key) {
            Some(search) if search.tries_left > 0 => {
                search.tries_left -= 1;
                SearchStep::Again(tries - search.tries_left)
            }
            _ => self.turned_away(key, tries),
        }
    }

    /// The current target does not hold the stream.
    pub(crate) fn turned_away(&mut self, key: &TicketKey, tries: u32) -> SearchStep {
        let Some(search) = self.0.get_mut(key) else {
            return SearchStep::None;
        };
        match search.others.pop_front() {
            Some(target) => {
                search.current = target;
                search.tries_left = tries;
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
