use std::time::Duration;

use kwg_gate::AttemptSample;
use kwg_model::MonoTime;

/// Number and times of the events of one attempt's stream.
#[derive(Debug, Default)]
pub(crate) struct EventPace {
    first: Option<MonoTime>,
    pub(crate) last: Option<MonoTime>,
    longest_gap: Duration,
    pub(crate) events: u64,
}

impl EventPace {
    /// Records that `events` events have arrived at the same time.
    pub(crate) fn record_events(&mut self, events: u64, now: MonoTime) {
        if let Some(last) = self.last {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.events += events;
    }

    pub(crate) fn fill_sample(&self, started: MonoTime, sample: &mut AttemptSample) {
        sample.events = self.events;
        sample.first_event = self.first.map(|first| first.since(started));
        if let (Some(first), Some(last), true) = (self.first, self.last, self.events > 1) {
            let span = last.since(first);
            sample.event_gap = Some(span / u32::try_from(self.events - 1).unwrap_or(u32::MAX));
            sample.longest_gap = Some(self.longest_gap);
        }
    }
}
