use std::collections::BTreeSet;

use kwg_decide::{PoisonOptions, SuspectList, SuspectVerdict};
use kwg_model::{MonoTime, TargetName};

use super::CrashId;

/// Maximum number of crash ids to remember, so that each crash is counted once; beyond it the
/// lowest id is dropped.
const CRASHES_MAX: usize = 4_096;

/// Tracks requests that crash targets, as reported by this router and its peers.
#[derive(Debug, Default)]
pub(super) struct PoisonTracker {
    suspects: SuspectList,
    seen: BTreeSet<CrashId>,
    /// Fingerprints of the refused requests.
    poison: BTreeSet<u64>,
}

impl PoisonTracker {
    pub(super) fn new(options: PoisonOptions) -> Self {
        Self { suspects: SuspectList::new(options), ..Self::default() }
    }

    /// Records a crash. Returns `false` if it is already known.
    pub(super) fn record_crash(
        &mut self,
        now: MonoTime,
        fingerprint: u64,
        target: TargetName,
        id: CrashId,
    ) -> bool {
        if !self.seen.insert(id) {
            return false;
        }
        while self.seen.len() > CRASHES_MAX {
            self.seen.pop_first();
        }
        self.suspects.record_crash(now, fingerprint, target);
        true
    }

    /// Adds the fingerprint to the refused requests if it is judged poison.
    ///
    /// Returns whether it was added.
    pub(super) fn confirm_poison(&mut self, fingerprint: u64) -> bool {
        self.suspects.verdict(fingerprint) == SuspectVerdict::Poison
            && self.poison.insert(fingerprint)
    }

    /// Removes expired suspects. Returns whether the set of refused requests changed.
    pub(super) fn remove_expired(&mut self, now: MonoTime) -> bool {
        self.suspects.evict_expired(now);
        let before = self.poison.len();
        let suspects = &self.suspects;
        self.poison.retain(|known| suspects.verdict(*known) == SuspectVerdict::Poison);
        self.poison.len() < before
    }

    pub(super) fn poison(&self) -> &BTreeSet<u64> {
        &self.poison
    }
}
