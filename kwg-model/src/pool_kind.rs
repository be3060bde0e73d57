use serde::{Deserialize, Serialize};

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines whose streams can be resumed and cancelled.
    Engine,
    /// Plain services that answer once.
    Service,
}
