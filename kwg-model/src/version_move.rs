use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{TargetName, VersionName};

/// A move of a pool to another version, stored in the pool's row so that any router can continue
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMove {
    /// The version to move to.
    pub to: VersionName,
    /// When the move was accepted, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When the move must have ended, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// When the current phase began, in milliseconds since the Unix epoch.
    pub phase_since_ms: u64,
    /// The targets that have loaded the version.
    #[serde(default)]
    pub loaded: BTreeSet<TargetName>,
    /// The current phase.
    pub phase: MovePhase,
    /// Why the move ended; `None` while it is in progress.
    #[serde(default)]
    pub verdict: Option<MoveVerdict>,
}

impl VersionMove {
    /// Creates a move that has just been accepted. Times are in milliseconds since the Unix epoch.
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

    /// Returns whether the move is done or rolled back.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.phase, MovePhase::Done | MovePhase::TakenBack)
    }

    /// Returns the time between the move's start and its due time, in milliseconds.
    #[must_use]
    pub fn span_ms(&self) -> u64 {
        self.due_ms.saturating_sub(self.started_ms)
    }
}

/// Phases of a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MovePhase {
    /// The move is accepted; no order has been sent yet.
    Staged,
    /// Targets are loading the new version.
    Loading,
    /// A small share of traffic goes to the new version.
    Canary,
    /// The traffic share of the new version, in percent, is increased in steps.
    Ramping(u8),
    /// All traffic goes to the new version; the old one stays loaded.
    Soaking,
    /// The new version has replaced the old one.
    Done,
    /// The move was rolled back; the old version serves all traffic.
    TakenBack,
}

/// Reason for the end of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveVerdict {
    /// The reason, in one line for operators.
    pub reason: String,
    /// The evidence, in one line: route, sample counts and rates.
    pub evidence: String,
}
