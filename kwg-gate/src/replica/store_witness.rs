use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

/// Time after its last report for which a peer counts.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Time after the store's return in which entries that lapsed in the outage are back.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What the reports of peers show of the store, while this instance gets no answer from it.
///
/// ```
/// use kwg_gate::StoreWitness;
/// use kwg_model::MonoTime;
///
/// let (mut witness, start) = (StoreWitness::default(), MonoTime::from_millis(10));
/// witness.record("a", true, 5, start);
/// assert!(witness.shows_service_since(start), "a peer has a new change");
/// witness.record("a", false, 5, MonoTime::from_millis(20));
/// assert!(!witness.reports_failure_since(start), "one of two instances: it may be cut off itself");
/// witness.record("b", false, 5, MonoTime::from_millis(30));
/// assert!(witness.reports_failure_since(start) && !witness.shows_service_since(start));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreWitness {
    peers: HashMap<String, PeerReport>,
    /// When a peer last reported a change of a table that was not known before.
    change: Option<MonoTime>,
    /// The revision of that change.
    newest: u64,
}

#[derive(Debug, Clone, Copy)]
struct PeerReport {
    last: MonoTime,
    /// When it last reported that the store did not answer it.
    failure: Option<MonoTime>,
}

impl StoreWitness {
    /// Applies the report of a peer: whether the store answers it, and the last change that it knows. An
    /// instance that knows none has just started and shows nothing.
    pub fn record(&mut self, peer: &str, store_answers: bool, revision: u64, now: MonoTime) {
        if revision == 0 {
            return;
        }
        self.peers.retain(|_, report| now.since(report.last) < REPORT_TIME);
        let report = PeerReport { last: now, failure: None };
        let report = self.peers.entry(peer.to_owned()).or_insert(report);
        report.last = now;
        if !store_answers {
            report.failure = Some(now);
        }
        if revision > self.newest {
            (self.change, self.newest) = (Some(now), revision);
        }
    }

    /// Whether most of the instances, this one included, have reported since then that the store did not
    /// answer them. Fewer may be cut off themselves.
    #[must_use]
    pub fn reports_failure_since(&self, since: MonoTime) -> bool {
        self.last_failure().is_some_and(|at| at >= since)
    }

    /// Whether the store has answered peers since then, and not only just after an outage that most
    /// instances have reported: then it was this instance that did not reach it.
    #[must_use]
    pub fn shows_service_since(&self, since: MonoTime) -> bool {
        let Some(change) = self.change.filter(|at| *at >= since) else { return false };
        self.last_failure().is_none_or(|at| at < since || change.since(at) > SETTLE_TIME)
    }

    /// The last moment since which most of the instances have reported a failure.
    fn last_failure(&self) -> Option<MonoTime> {
        let mut failures: Vec<MonoTime> =
            self.peers.values().filter_map(|report| report.failure).collect();
        failures.sort_unstable_by(|one, other| other.cmp(one));
        failures.get(self.peers.len().div_ceil(2)).copied()
    }
}
