use std::time::Duration;

use crate::TargetId;

/// A target has become cold or warm in the view of this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdChange {
    /// The target.
    pub target: TargetId,
    /// How much longer it is cold; none if it is warm.
    pub left: Option<Duration>,
    /// Requests that this instance may send to it in any one second.
    pub share: u32,
    /// Whether it is only suspected to have started again.
    pub is_suspected: bool,
}
