use serde::{Deserialize, Serialize};

use super::MovePhase;

/// How far a move had come when a later order of its service replaced it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastMove {
    /// The version that was ordered.
    pub version: String,
    /// Revision of the order.
    pub revision: u64,
    /// The last phase of the move. [`MovePhase::Running`] if it had not ended: the version was neither
    /// proved good nor found bad.
    pub phase: MovePhase,
}

impl PastMove {
    /// Adds this move to others with one entry a version: the last order of a version counts, and its
    /// phase only increases.
    pub(crate) fn merge_into(&self, others: &mut Vec<Self>) {
        match others.iter_mut().find(|known| known.version == self.version) {
            Some(known) => {
                let (own, other) = ((self.revision, self.phase), (known.revision, known.phase));
                (known.revision, known.phase) = own.max(other);
            }
            None => others.push(self.clone()),
        }
    }
}
