use std::time::Duration;

use kwg_model::MonoTime;

use super::GateCore;
use crate::{Placement, PlacementQuery};

impl GateCore {
    /// Sets when every request must have its outcome, because the instance stops. From then on no
    /// request is sent; those that wait are to be placed again, since their limits are shorter now.
    pub fn set_end(&mut self, end: MonoTime) {
        self.end = Some(end);
    }

    /// Whether no request may be sent any more.
    pub(super) fn has_ended(&self, now: MonoTime) -> bool {
        self.end.is_some_and(|end| now >= end)
    }

    /// The last moment at which an answer that takes `rest` can begin before the instance stops; none
    /// if it does not stop.
    pub(super) fn last_start(&self, rest: Duration) -> Option<MonoTime> {
        let left = self.end?.since(MonoTime::ZERO);
        Some(MonoTime::ZERO + left.saturating_sub(rest))
    }

    /// Whether the answer at a chosen target is not expected to end before the instance stops: another
    /// instance still has the time for it.
    pub(super) fn would_be_cut(
        &self,
        query: &PlacementQuery<'_>,
        placement: &Placement,
        now: MonoTime,
    ) -> bool {
        let expected = self.targets.expected_answer(query, placement.target);
        self.last_start(expected).is_some_and(|last| now > last)
    }
}
