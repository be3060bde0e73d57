use serde::{Deserialize, Serialize};

use super::RampPlan;

/// How far the new version of a running move is proved good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveStage {
    /// Few requests show how it answers with little load.
    Canary,
    /// Proved with little load; some of its targets are loaded as much as old ones.
    Ramp {
        /// Time between the order and the proof, in milliseconds.
        proved_ms: u32,
        /// The load.
        plan: RampPlan,
    },
    /// Proved under load as well; it gets all requests.
    Alone {
        /// Time between the order and the first proof, in milliseconds.
        proved_ms: u32,
    },
}

impl MoveStage {
    /// Whether the version is proved good, at least with little load.
    #[must_use]
    pub fn is_proved(&self) -> bool {
        !matches!(self, Self::Canary)
    }

    /// Whether this stage is a later one than another.
    pub(super) fn is_after(&self, other: &Self) -> bool {
        let rank = |stage: &Self| match stage {
            Self::Canary => 0,
            Self::Ramp { .. } => 1,
            Self::Alone { .. } => 2,
        };
        rank(self) > rank(other)
    }
}
