use std::time::Duration;

use kwg_model::MonoTime;

/// How long a peer may be ahead before a copy is pulled from it: changes take some milliseconds to
/// arrive from the store.
const MAX_LAG: Duration = Duration::from_millis(500);
/// Minimum interval between two pulls. A pull or its reply may be lost, so several must fit into the time within
/// which a change has to be in force.
const PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Detects when an instance has lagged behind its peers in a table for so long that it should
/// pull a copy from one of them.
///
/// ```
/// use std::time::Duration;
///
/// use kwg_gate::TableLag;
/// use kwg_model::MonoTime;
///
/// let (mut lag, start) = (TableLag::default(), MonoTime::from_millis(1));
/// assert!(!lag.should_pull(3, 5, start), "the change may be in transit");
/// assert!(lag.should_pull(3, 5, start + Duration::from_millis(600)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TableLag {
    /// Newest revision that a peer has reported.
    newest: u64,
    /// Since when this instance has been behind.
    behind_since: Option<MonoTime>,
    /// Time of the last pull.
    pulled: Option<MonoTime>,
}

impl TableLag {
    /// Compares the revision that a peer reports with the one `known` here; returns whether to pull
    /// a copy from this peer now.
    pub fn should_pull(&mut self, known: u64, reported: u64, now: MonoTime) -> bool {
        self.is_due(known, reported, MAX_LAG, now)
    }

    /// As [`Self::should_pull`], without the time for a change to arrive from the store: it does not answer
    /// this instance.
    pub fn should_pull_at_once(&mut self, known: u64, reported: u64, now: MonoTime) -> bool {
        self.is_due(known, reported, Duration::ZERO, now)
    }

    fn is_due(&mut self, known: u64, reported: u64, max_lag: Duration, now: MonoTime) -> bool {
        self.newest = self.newest.max(reported);
        // Only an instance that has reached the newest reported revision has caught up; a report of
        // a peer that lags as well does not reset the timer.
        if known >= self.newest {
            self.behind_since = None;
        }
        if reported <= known {
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_due = self.pulled.is_none_or(|at| now.since(at) > PULL_INTERVAL);
        let has_waited = max_lag.is_zero() || now.since(since) > max_lag;
        let should_pull = has_waited && is_due;
        if should_pull {
            self.pulled = Some(now);
        }
        should_pull
    }
}
