use std::collections::HashSet;

use kwg_model::MonoTime;

use super::SuspectKey;
use super::end_id::EndId;
use super::verdict_doubt::VerdictDoubt;

/// The requests that have all of some suspects, and are refused.
///
/// Several suspects that have ended the same targets cannot be told apart until a request comes that has only one of
/// them, so such a request is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedGroup {
    /// What a request must have to be refused, in order.
    pub suspects: Vec<SuspectKey>,
    /// The ends of targets that speak for it.
    pub(super) explains: HashSet<EndId>,
    /// Until when it holds.
    pub(super) until: MonoTime,
    /// What a trial goes by; none if there is no doubt.
    pub(super) doubt: Option<VerdictDoubt>,
}

impl RefusedGroup {
    /// Number of ends of targets that speak for it.
    #[must_use]
    pub fn ends(&self) -> usize {
        self.explains.len()
    }

    /// Whether a request may be sent to find out whether the verdict is right. `draw` is random in [0, 1).
    pub(super) fn allows_trial(&self, draw: f64, now: MonoTime) -> bool {
        self.doubt.is_some_and(|doubt| doubt.allows_trial(draw, now))
    }
}
