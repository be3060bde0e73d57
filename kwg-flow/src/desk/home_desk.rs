use std::collections::BTreeMap;

use kwg_model::{HomeAddress, MonoTime};

/// A question to a ticket's home that has not been answered.
#[derive(Debug)]
pub(crate) struct HomeWait<W> {
    /// The core that was asked.
    pub(crate) asked: HomeAddress,
    /// When the question is given up.
    pub(crate) deadline: MonoTime,
    /// What waits for the answer.
    pub(crate) item: W,
}

/// Questions to homes by the number of the attempt.
#[derive(Debug)]
pub(crate) struct HomeDesk<W>(BTreeMap<u64, HomeWait<W>>);

impl<W> Default for HomeDesk<W> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<W> HomeDesk<W> {
    pub(crate) fn insert(&mut self, attempt: u64, wait: HomeWait<W>) {
        self.0.insert(attempt, wait);
    }

    pub(crate) fn take(&mut self, attempt: u64) -> Option<HomeWait<W>> {
        self.0.remove(&attempt)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The attempts that asked a core for which `gone` holds.
    pub(crate) fn attempts_at(&self, gone: impl Fn(&HomeAddress) -> bool) -> Vec<u64> {
        let waits = self.0.iter().filter(|(_, wait)| gone(&wait.asked));
        waits.map(|(attempt, _)| *attempt).collect()
    }
}
