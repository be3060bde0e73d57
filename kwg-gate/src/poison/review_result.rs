use std::collections::HashSet;

use super::RefusedGroup;
use super::end_id::EndId;

/// What a review has found.
#[derive(Debug, Clone, Default)]
pub(super) struct ReviewResult {
    pub(super) verdicts: Vec<RefusedGroup>,
    /// Ends that a verdict explains.
    pub(super) explained: HashSet<EndId>,
}
