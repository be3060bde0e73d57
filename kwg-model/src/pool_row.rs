use serde::{Deserialize, Serialize};

use crate::{PoolKind, PoolName, TargetRow, VersionMove, VersionName};

/// One row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The name that routes refer to.
    pub name: PoolName,
    /// What the targets are.
    pub kind: PoolKind,
    /// The version that serves all traffic but a move's share.
    pub version: VersionName,
    /// The targets.
    pub targets: Vec<TargetRow>,
    /// The version move under way or last ended.
    #[serde(default)]
    pub version_move: Option<VersionMove>,
}
