use serde::{Deserialize, Serialize};

use crate::VersionName;

/// A move of a pool to another version, kept in the pool's row so that any router carries on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMove {
    /// The version to move to.
    pub to: VersionName,
    /// When the move must have ended, in milliseconds of the table service's wall clock.
    pub due_ms: u64,
    /// How far the move is.
    pub phase: MovePhase,
    /// Why it ended, once it has.
    #[serde(default)]
    pub verdict: Option<MoveVerdict>,
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
