use std::collections::HashSet;

use kwg_model::MonoTime;

use super::SuspectKey;
use super::suspect_entry::EndId;

/// Requests that are refused: those that have all of these suspects.
///
/// Several suspects that have ended the same targets cannot be told apart until a request comes that has only one of
/// them, so such a request is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectVerdict {
    /// What a request must have to be refused, in order.
    pub suspects: Vec<SuspectKey>,
    /// The ends of targets that speak for it.
    pub(super) explains: HashSet<EndId>,
    /// Until when it holds.
    pub(super) until: MonoTime,
}

impl SuspectVerdict {
    /// Number of ends of targets that speak for it.
    #[must_use]
    pub fn ends(&self) -> usize {
        self.explains.len()
    }
}
