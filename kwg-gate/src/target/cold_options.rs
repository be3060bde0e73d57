use super::cold_view::ColdView;
use crate::ColdRule;

/// Number of disjoint views of the fleet that may each use a full share of a cold target's rate: two halves that do not
/// hear each other, and instances that start again.
const FULL_VIEWS: f64 = 3.0;

/// How far all instances together may exceed the rate that a cold target tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdOptions {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests in any one second beyond that.
    pub slack: f64,
}

impl Default for ColdOptions {
    /// The rate itself.
    fn default() -> Self {
        Self { overshoot: 1.0, slack: 0.0 }
    }
}

impl ColdOptions {
    /// Number of requests that the instances in touch with this one may send to one cold target in any one second.
    ///
    /// The parts of a fleet that do not hear each other get no more than in proportion to their sizes, so that any number
    /// of them stays within the bound together; and no part gets more than a third, so that three that overlap do.
    pub(crate) fn shares(&self, rule: &ColdRule, view: &ColdView) -> u32 {
        let bound = (rule.per_s * self.overshoot + self.slack).clamp(0.0, 1e6);
        let part = view.part();
        let shares = (bound * part.min(1.0 / FULL_VIEWS)).floor() as u32;
        // A bound of one or two requests is left to the majority, or cold targets would never serve.
        let is_least = shares == 0 && bound >= 1.0 && part > 0.5;
        if is_least { 1 } else { shares }
    }
}
