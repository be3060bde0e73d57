use std::collections::BTreeMap;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{TargetEntry, TargetId};

/// How long entries that lapsed during a store outage stay valid after the store's return. Live
/// targets register again within two seconds of it, and drained targets must get no requests
/// after 2.5 s.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// All known targets, by name.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    revision: u64,
    entries: BTreeMap<TargetId, TargetEntry>,
    /// Entries that the store no longer has, with the time at which each one expires.
    lapsed: BTreeMap<TargetId, MonoTime>,
    /// End of the grace period after the last store outage.
    grace_until: MonoTime,
    /// When the first entries arrived: those of that moment are the instance's first reading.
    first_reading: Option<MonoTime>,
}

impl TargetRegistry {
    /// The latest revision that has been applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Entries of the targets that are assumed to exist.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.entries.values()
    }

    /// The entry of a target, if it is known.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&TargetEntry> {
        self.entries.get(id)
    }

    /// Records that the store is reachable again after an outage. For `LAPSE_GRACE`, entries that
    /// it no longer has are kept unless they drain: they may have lapsed because their targets
    /// could not reach the store.
    pub fn record_store_return(&mut self, now: MonoTime) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Applies one change; `None` removes the entry. Callers pass the changes in the order of their
    /// revisions.
    pub fn apply(
        &mut self,
        revision: u64,
        id: &TargetId,
        entry: Option<TargetEntry>,
        now: MonoTime,
    ) {
        match entry {
            Some(mut entry) => {
                self.lapsed.remove(id);
                let known = self.entries.get(id).filter(|known| known.is_same_run(&entry));
                let is_first = *self.first_reading.get_or_insert(now) == now;
                entry.cold = entry.cold.received(known.map(|known| known.cold), is_first, now);
                self.entries.insert(id.clone(), entry);
            }
            None => self.remove(id, now),
        }
        self.revision = self.revision.max(revision);
    }

    /// Replaces all entries by a full reading; entries missing from it are removed.
    pub fn replace(
        &mut self,
        revision: u64,
        entries: impl IntoIterator<Item = TargetEntry>,
        now: MonoTime,
    ) {
        let mut missing: Vec<TargetId> = self.entries.keys().cloned().collect();
        for entry in entries {
            missing.retain(|id| *id != entry.id);
            let id = entry.id.clone();
            self.apply(revision, &id, Some(entry), now);
        }
        missing.iter().for_each(|id| self.remove(id, now));
        self.revision = self.revision.max(revision);
    }

    /// Removes lapsed entries whose grace period is over; returns them.
    pub fn expire(&mut self, now: MonoTime) -> Vec<TargetId> {
        let due: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.lapsed.remove(id);
            self.entries.remove(id);
        }
        due
    }

    /// Until when a target is assumed to exist although the store no longer has its entry; none if it has.
    #[must_use]
    pub fn held_until(&self, id: &TargetId) -> Option<MonoTime> {
        self.lapsed.get(id).copied()
    }

    /// When the next lapsed entry is due for [`Self::expire`].
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.lapsed.values().min().copied()
    }

    fn remove(&mut self, id: &TargetId, now: MonoTime) {
        let is_draining = self.entries.get(id).is_some_and(|entry| entry.is_draining);
        if now < self.grace_until && !is_draining && self.entries.contains_key(id) {
            let until = self.grace_until;
            self.lapsed.entry(id.clone()).or_insert(until);
        } else {
            self.lapsed.remove(id);
            self.entries.remove(id);
        }
    }
}
