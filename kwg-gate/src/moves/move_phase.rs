use serde::{Deserialize, Serialize};

/// Phase of a version move. Phases are ordered, and a move's phase only increases, so a rollback
/// overrides a completion that operators do not know of yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MovePhase {
    /// Both versions serve requests.
    Running,
    /// The new version serves alone.
    Completed,
    /// The new version serves no requests.
    RolledBack,
    /// Completed, and recorded so for operators: old targets have stopped, and a rollback would leave
    /// the service without a target.
    Kept,
}

impl MovePhase {
    /// The phase's name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
            Self::Kept => "kept",
        }
    }

    /// Whether the new version was proved good and serves alone.
    #[must_use]
    pub fn is_completed(self) -> bool {
        matches!(self, Self::Completed | Self::Kept)
    }

    /// The phase of a move whose status row has this one.
    ///
    /// ```
    /// use kwg_gate::MovePhase;
    ///
    /// let kept = MovePhase::Completed.recorded();
    /// assert_eq!(kept.max(MovePhase::RolledBack), kept, "a rollback comes too late");
    /// assert_eq!(MovePhase::RolledBack.recorded(), MovePhase::RolledBack);
    /// ```
    #[must_use]
    pub fn recorded(self) -> Self {
        if self.is_completed() { Self::Kept } else { self }
    }
}
