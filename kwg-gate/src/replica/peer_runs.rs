use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

/// Interval between two pulls from the same peer.
const PULL_INTERVAL: Duration = Duration::from_millis(600);

/// The runs of peers, and which of them have started again since the store last answered this instance.
///
/// An instance that has just read a table does not know of rows that were removed before. So what it reports
/// may hide a removal from an instance that only peers can tell.
///
/// ```
/// use kwg_gate::PeerRuns;
/// use kwg_model::MonoTime;
///
/// let (mut runs, now) = (PeerRuns::default(), MonoTime::from_millis(1));
/// runs.record("a", 7);
/// assert!(!runs.should_pull("a", now));
/// runs.record("a", 8);
/// assert!(runs.should_pull("a", now));
/// runs.record_copy("a");
/// assert!(!runs.should_pull("a", now));
/// ```
#[derive(Debug, Clone, Default)]
pub struct PeerRuns {
    runs: HashMap<String, u64>,
    /// Peers that have started again, and when a copy of theirs is due.
    restarted: HashMap<String, MonoTime>,
}

impl PeerRuns {
    /// Records the run of a peer.
    pub fn record(&mut self, peer: &str, run: u64) {
        let before = self.runs.insert(peer.to_owned(), run);
        if before.is_some_and(|before| before != run) {
            self.restarted.insert(peer.to_owned(), MonoTime::ZERO);
        }
    }

    /// Whether to pull a copy from a peer now, because it has started again.
    pub fn should_pull(&mut self, peer: &str, now: MonoTime) -> bool {
        let due = self.restarted.get_mut(peer).filter(|due| **due <= now);
        due.map(|due| *due = now + PULL_INTERVAL).is_some()
    }

    /// Records that a copy of a peer has arrived.
    pub fn record_copy(&mut self, peer: &str) {
        self.restarted.remove(peer);
    }

    /// Records that the store has answered this instance: it needs no peer.
    pub fn record_store_answer(&mut self) {
        self.restarted.clear();
    }

    /// Forgets peers that are no longer in the fleet.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.runs.retain(|peer, _| is_member(peer));
        self.restarted.retain(|peer, _| is_member(peer));
    }
}
