use serde::{Deserialize, Serialize};

/// Phase of a version move. Phases are ordered, and a move's phase only increases, so a rollback
/// overrides a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MovePhase {
    /// Both versions serve requests.
    Running,
    /// The new version serves alone.
    Completed,
    /// The new version serves no requests.
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
