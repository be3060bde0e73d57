use std::collections::BTreeSet;

use kwg_decide::{PoisonOptions, SuspectList, SuspectVerdict};
use kwg_model::{MonoTime, TargetName};

use super::CrashId;

/// Most crashes whose names are remembered, so that each counts once.
const CRASHES_MAX: usize = 4_096;

/// The requests that crash targets, as this router and its peers found them.
#[derive(Debug, Default)]
pub(super) struct PoisonDesk {
    suspects: SuspectList,
    seen: BTreeSet<CrashId>,
    poison: BTreeSet<u64>,
}

impl PoisonDesk {
    pub(super) fn new(options: PoisonOptions) -> Self {
        Self { suspects: SuspectList::new(options), ..Self::default() }
    }

    /// Notes a crash; `false` if it is known already.
    pub(super) fn note_crash(
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
        self.suspects.note_crash(now, fingerprint, target);
        true
    }

    /// Takes the fingerprint in if it has become poison; whether that was news.
    pub(super) fn condemn(&mut self, fingerprint: u64) -> bool {
        self.suspects.verdict(fingerprint) == SuspectVerdict::Poison
            && self.poison.insert(fingerprint)
    }

    /// Forgets what is long past; whether that changed what is refused.
    pub(super) fn forget_old(&mut self, now: MonoTime) -> bool {
        self.suspects.forget_old(now);
        let before = self.poison.len();
        let suspects = &self.suspects;
        self.poison.retain(|known| suspects.verdict(*known) == SuspectVerdict::Poison);
        self.poison.len() < before
    }

    pub(super) fn poison(&self) -> &BTreeSet<u64> {
        &self.poison
    }
}
