use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{TargetName, VersionName};

/// A move of a pool to another version, kept in the pool's row so that any router carries on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMove {
    /// The version to move to.
    pub to: VersionName,
    /// When the move was accepted, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When the move must have ended.
    pub due_ms: u64,
    /// When its phase began.
    pub phase_since_ms: u64,
    /// The targets that have loaded the version.
    #[serde(default)]
    pub loaded: BTreeSet<TargetName>,
    /// How far the move is.
    pub phase: MovePhase,
    /// Why it ended, once it has.
    #[serde(default)]
    pub verdict: Option<MoveVerdict>,
}

impl VersionMove {
    /// A move that has just been accepted. Times are in milliseconds since the Unix epoch.
    #[must_use]
    pub fn stage(to: VersionName, now_ms: u64, due_ms: u64) -> Self {
        Self {
            to,
            started_ms: now_ms,
            due_ms,
            phase_since_ms: now_ms,
            loaded: BTreeSet::new(),
            phase: MovePhase::Staged,
            verdict: None,
        }
    }

    /// Whether the move is done or taken back.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, MovePhase::Done | MovePhase::TakenBack)
    }

    /// The time that the move was given, in milliseconds.
    #[must_use]
    pub fn span_ms(&self) -> u64 {
        self.due_ms.saturating_sub(self.started_ms)
    }
}

/// The steps of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MovePhase {
    /// Accepted, no order given yet.
    Staged,
    /// Targets load the version.
    Loading,
    /// A small share of traffic tests the version.
    Canary,
    /// The share grows step by step, in percent.
    Ramping(u8),
    /// All traffic is on the new version, the old one stays loaded.
    Soaking,
    /// The new version has taken over.
    Done,
    /// The old version serves again.
    TakenBack,
}

/// Why a move ended as it did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveVerdict {
    /// What happened, in one line for operators.
    pub reason: String,
    /// The evidence: route, sample counts and measures, in one line.
    pub evidence: String,
}
