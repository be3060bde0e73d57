use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::ServiceName;

/// Silence after which a peer's load no longer counts: by then its requests have ended or have
/// been cut.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// When each peer last reported, and how many requests wait at it.
#[derive(Debug, Clone, Default)]
pub struct PeerTracker {
    reachable: HashMap<String, PeerRecord>,
    waiting: HashMap<String, Vec<(ServiceName, u16)>>,
    max_members: u32,
}

/// Last report of a peer, or of a relay on behalf of its failure domain.
#[derive(Debug, Clone, Copy)]
struct PeerRecord {
    reported: MonoTime,
    members: u32,
}

impl PeerTracker {
    /// Records a report of a peer that covers `members` instances.
    pub fn record_report(&mut self, peer: &str, members: u32, now: MonoTime) {
        let record = PeerRecord { reported: now, members };
        match self.reachable.get_mut(peer) {
            Some(known) => *known = record,
            None => {
                self.reachable.insert(peer.to_owned(), record);
            }
        }
        self.max_members =
            self.max_members.max(self.reachable.values().map(|record| record.members).sum());
    }

    /// Records how many requests wait for capacity at a peer.
    pub fn record_waiting(&mut self, peer: &str, waiting: &[(ServiceName, u16)]) {
        self.waiting.insert(peer.to_owned(), waiting.to_vec());
    }

    /// Number of requests that wait at peers for capacity of a service.
    #[must_use]
    pub fn waiting(&self, service: &str) -> u32 {
        let of_service = |(name, count): &(ServiceName, u16)| match name.as_str() == service {
            true => u32::from(*count),
            false => 0,
        };
        self.waiting.values().flatten().map(of_service).sum()
    }

    /// Whether requests for a service wait at a peer; `None` if the peer has not reported.
    #[must_use]
    pub fn has_waiting(&self, peer: &str, service: &str) -> Option<bool> {
        let waiting = self.waiting.get(peer)?;
        Some(waiting.iter().any(|(name, count)| name.as_str() == service && *count > 0))
    }

    /// Removes and returns the peers that have stopped reporting.
    pub fn take_silent(&mut self, now: MonoTime) -> Vec<String> {
        let is_silent = |record: &PeerRecord| now.since(record.reported) > SILENT_AFTER;
        let silent: Vec<String> = self
            .reachable
            .iter()
            .filter(|(_, record)| is_silent(record))
            .map(|(peer, _)| peer.clone())
            .collect();
        silent.iter().for_each(|peer| {
            self.reachable.remove(peer);
            self.waiting.remove(peer);
        });
        silent
    }

    /// Number of instances whose reports arrive, this one included.
    #[must_use]
    pub fn reachable(&self) -> u32 {
        1 + self.reachable.values().map(|record| record.members).sum::<u32>()
    }

    /// Highest number of instances that were reachable at one time, this one included. A
    /// share of a budget that an unreachable peer may still be using must not be allocated again.
    #[must_use]
    pub fn instances(&self) -> u32 {
        self.max_members + 1
    }
}
