use std::collections::HashMap;

use crate::{AccountLabel, AccountUsage, DigestDelta, GateDigest, TargetCode, TargetReport};

/// A peer's digest, kept up to date by the deltas received from it.
#[derive(Debug, Clone, Default)]
pub struct DigestMirror {
    /// Run and number of the last delta.
    last: Option<(u64, u32)>,
    /// Whether a delta is missing, so that values may be outdated.
    has_gap: bool,
    accounts: HashMap<AccountLabel, u64>,
    targets: HashMap<TargetCode, TargetReport>,
}

impl DigestMirror {
    /// Applies a delta and returns the peer's digest, or `None` for a delta that is not newer than
    /// the last one. Of the ends of targets only those in the delta are returned: the receiver merges them.
    pub fn apply(&mut self, delta: &DigestDelta) -> Option<GateDigest> {
        let changes = &delta.changes;
        let before = self.last.filter(|(run, _)| *run == changes.run).map(|(_, number)| number);
        if before.is_some_and(|before| delta.number <= before) && !delta.is_full {
            return None;
        }
        if delta.is_full {
            self.accounts.clear();
            self.targets.clear();
            self.has_gap = false;
        } else if before.is_none_or(|before| before + 1 != delta.number) {
            self.has_gap = true;
        }
        self.last = Some((changes.run, delta.number));
        for usage in &changes.accounts {
            self.accounts.insert(usage.label.clone(), usage.used);
        }
        for (code, report) in &changes.targets {
            match *report == TargetReport::default() {
                true => self.targets.remove(code),
                false => self.targets.insert(*code, *report),
            };
        }
        Some(self.digest(changes))
    }

    /// Whether the sender must be asked for a complete delta.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Run and number of the last delta.
    #[must_use]
    pub fn last(&self) -> Option<(u64, u32)> {
        self.last
    }

    /// The whole digest after these changes.
    fn digest(&self, changes: &GateDigest) -> GateDigest {
        let usage = |(label, used): (&AccountLabel, &u64)| AccountUsage {
            label: label.clone(),
            used: *used,
        };
        GateDigest {
            accounts: self.accounts.iter().map(usage).collect(),
            targets: self.targets.iter().map(|(code, report)| (*code, *report)).collect(),
            waiting: changes.waiting.clone(),
            moves: changes.moves.clone(),
            ends: changes.ends.clone(),
            ..*changes
        }
    }
}
