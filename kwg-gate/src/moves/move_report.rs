use serde::{Deserialize, Serialize};

use super::{MoveEvidence, MovePhase, MoveStage, PastMove};
use crate::ServiceName;

/// The state of a version move as one instance, or a failure domain, reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveReport {
    /// The service that is moved.
    pub service: ServiceName,
    /// Revision of the order.
    pub revision: u64,
    /// Phase of the move.
    pub phase: MovePhase,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u32,
    /// How far the new version is proved good.
    pub stage: MoveStage,
    /// Answers since the proof, or since the order before it.
    pub evidence: MoveEvidence,
    /// Earlier moves of the service, one for each version.
    pub past: Vec<PastMove>,
}

impl MoveReport {
    /// Whether both reports are of the same order.
    pub(crate) fn is_same_move(&self, other: &Self) -> bool {
        (&self.service, self.revision) == (&other.service, other.revision)
    }

    /// Removes the counts of one of the instances that this report sums up.
    pub(crate) fn subtract(&mut self, part: &Self) {
        if self.stage.is_proved() == part.stage.is_proved() {
            self.evidence.subtract(&part.evidence);
        }
    }

    /// Merges another instance's report of the same move.
    pub(crate) fn add(&mut self, other: &Self) {
        self.phase = self.phase.max(other.phase);
        self.elapsed_ms = self.elapsed_ms.max(other.elapsed_ms);
        other.past.iter().for_each(|past| past.merge_into(&mut self.past));
        match (self.stage.is_proved(), other.stage.is_proved()) {
            // Only one of them counts from the proof on, the other one from the order.
            (false, true) => self.evidence = other.evidence.clone(),
            (true, false) => {}
            (false, false) | (true, true) => self.evidence.add(&other.evidence),
        }
        if other.stage.is_after(&self.stage) {
            self.stage = other.stage;
        }
    }
}
