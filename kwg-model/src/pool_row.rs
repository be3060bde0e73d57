use serde::{Deserialize, Serialize};

use crate::{PoolKind, PoolName, TargetRow, VersionMove, VersionName};

/// One row of the pool table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The name by which routes refer to the pool.
    pub name: PoolName,
    /// The kind of the targets.
    pub kind: PoolKind,
    /// The version that serves all traffic except the share of a version move.
    pub version: VersionName,
    /// The targets of the pool.
    pub targets: Vec<TargetRow>,
    /// The version move in progress, or the last one that ended.
    #[serde(default)]
    pub version_move: Option<VersionMove>,
}
