use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;
use kwg_telemetry::EventLine;

/// Minimum time between two lines of the same reason.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Logs connections of callers that are refused or closed: a line a second for each reason, with the
/// count since the last one, so that a crowd does not fill the log.
#[derive(Debug, Default)]
pub(crate) struct FrontLog {
    reasons: RefCell<HashMap<&'static str, ReasonCount>>,
}

#[derive(Debug)]
struct ReasonCount {
    last_line: Option<MonoTime>,
    count: u64,
}

impl FrontLog {
    /// Counts one connection, and logs the count unless it was logged within the last second.
    pub(crate) fn record(&self, event: &str, reason: &'static str, now: MonoTime) {
        let mut reasons = self.reasons.borrow_mut();
        let entry = reasons.entry(reason).or_insert(ReasonCount { last_line: None, count: 0 });
        entry.count += 1;
        if entry.last_line.is_none_or(|last| now.since(last) >= LINE_INTERVAL) {
            log::info!(
                "{}",
                EventLine::new(event).field("reason", reason).field("count", entry.count)
            );
            (entry.last_line, entry.count) = (Some(now), 0);
        }
    }
}
