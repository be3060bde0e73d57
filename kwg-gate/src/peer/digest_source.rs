use std::collections::HashMap;

use crate::{
    AccountLabel, AccountUsage, DigestDelta, EndFeed, GateDigest, TargetCode, TargetReport,
};

/// Number of deltas after which a complete one is sent.
const FULL_INTERVAL: u32 = 64;

/// Turns an instance's digests into deltas. All recipients get the same deltas.
#[derive(Debug, Clone, Default)]
pub struct DigestSource {
    number: u32,
    needs_full: bool,
    accounts: HashMap<AccountLabel, u64>,
    targets: HashMap<TargetCode, TargetReport>,
    ends: EndFeed,
}

impl DigestSource {
    /// Makes the next delta complete, for a recipient that has missed one.
    pub fn request_full(&mut self) {
        self.needs_full = true;
    }

    /// Number of the last delta; 0 before the first.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.number
    }

    /// The changes since the last digest. The first delta is complete.
    pub fn next_delta(&mut self, digest: &GateDigest) -> DigestDelta {
        let is_full = self.needs_full || self.number.is_multiple_of(FULL_INTERVAL);
        self.number = self.number.wrapping_add(1);
        self.needs_full = false;
        if is_full {
            self.accounts.clear();
            self.targets.clear();
        }
        let changes = GateDigest {
            accounts: self.changed_accounts(digest),
            targets: self.changed_targets(digest),
            waiting: digest.waiting.clone(),
            moves: digest.moves.clone(),
            ends: match is_full {
                true => self.ends.take_all(&digest.ends),
                false => self.ends.take(&digest.ends, 0),
            },
            ..*digest
        };
        DigestDelta { number: self.number, is_full, changes }
    }

    fn changed_accounts(&mut self, digest: &GateDigest) -> Vec<AccountUsage> {
        let is_new = |usage: &&AccountUsage| {
            self.accounts.insert(usage.label.clone(), usage.used) != Some(usage.used)
        };
        digest.accounts.iter().filter(is_new).cloned().collect()
    }

    /// Changed reports, and empty ones for targets that are no longer reported.
    fn changed_targets(&mut self, digest: &GateDigest) -> Vec<(TargetCode, TargetReport)> {
        let mut before = std::mem::take(&mut self.targets);
        let mut changed = Vec::new();
        for (code, report) in &digest.targets {
            if before.remove(code) != Some(*report) {
                changed.push((*code, *report));
            }
            self.targets.insert(*code, *report);
        }
        changed.extend(before.into_keys().map(|code| (code, TargetReport::default())));
        changed
    }
}
