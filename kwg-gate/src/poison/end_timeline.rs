use std::collections::VecDeque;
use std::time::Duration;

use kwg_model::MonoTime;

use super::end_id::EndId;

/// Maximum number of ends.
const MAX_ENDS: usize = 512;
/// How long an end is kept.
const KEPT_FOR: Duration = Duration::from_secs(20);

/// All ends of targets of the last seconds in the order of time, whichever requests were under way.
#[derive(Debug, Clone, Default)]
pub(super) struct EndTimeline {
    ends: VecDeque<(MonoTime, EndId)>,
}

impl EndTimeline {
    /// Adds an end; of two reports of the same end the earlier time holds.
    pub(super) fn record(&mut self, id: EndId, at: MonoTime) {
        if let Some(known) = self.ends.iter().position(|(_, known)| *known == id) {
            if self.ends[known].0 <= at {
                return;
            }
            self.ends.remove(known);
        }
        let place = self.ends.partition_point(|(known, _)| *known <= at);
        self.ends.insert(place, (at, id));
        if self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
    }

    /// Whether no target has ended lately.
    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Forgets old ends.
    pub(super) fn expire(&mut self, now: MonoTime) {
        while self.ends.front().is_some_and(|(at, _)| now.since(*at) > KEPT_FOR) {
            self.ends.pop_front();
        }
    }

    /// All ends.
    pub(super) fn ends(&self) -> impl Iterator<Item = (MonoTime, EndId)> + '_ {
        self.ends.iter().copied()
    }

    /// The ends in a span of time.
    pub(super) fn within(
        &self,
        from: MonoTime,
        until: MonoTime,
    ) -> impl Iterator<Item = EndId> + '_ {
        let first = self.ends.partition_point(|(at, _)| *at < from);
        let in_span = self.ends.iter().skip(first).take_while(move |(at, _)| *at <= until);
        in_span.map(|(_, id)| *id)
    }
}
