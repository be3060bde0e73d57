use serde::{Deserialize, Serialize};

/// Kind of the targets of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines, whose answer streams can be resumed and cancelled.
    Engine,
    /// Plain services, which return one answer per request.
    Service,
}
