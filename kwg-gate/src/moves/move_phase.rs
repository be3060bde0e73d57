use serde::{Deserialize, Serialize};

/// How far a move has come. A later phase is never followed by an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MovePhase {
    /// Both versions serve.
    Running,
    /// The new version serves alone.
    Completed,
    /// The new version serves nobody.
    RolledBack,
}

impl MovePhase {
    /// The phase's name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}
