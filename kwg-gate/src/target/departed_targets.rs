use std::collections::VecDeque;

use crate::{TargetEntry, TargetKey};

/// Largest number of targets that are remembered after they have left the registry.
const MAX_DEPARTED: usize = 128;

/// The last targets that have left the registry; attempts at them may still be open.
#[derive(Debug, Clone, Default)]
pub(super) struct DepartedTargets(VecDeque<DepartedTarget>);

#[derive(Debug, Clone)]
struct DepartedTarget {
    key: TargetKey,
    entry: TargetEntry,
    /// Whether it was known to leave before.
    was_leaving: bool,
}

impl DepartedTargets {
    /// Adds a target.
    pub(super) fn push(&mut self, key: TargetKey, entry: TargetEntry, was_leaving: bool) {
        if self.0.len() >= MAX_DEPARTED {
            self.0.pop_front();
        }
        self.0.push_back(DepartedTarget { key, entry, was_leaving });
    }

    /// The last entry of a target.
    pub(super) fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.0.iter().find(|departed| departed.key == key).map(|departed| &departed.entry)
    }

    /// The last entries of all of them.
    pub(super) fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.0.iter().map(|departed| &departed.entry)
    }

    /// Whether a target is among them that was not known to leave.
    pub(super) fn has_vanished(&self, key: TargetKey) -> bool {
        self.0.iter().any(|departed| departed.key == key && !departed.was_leaving)
    }
}
