use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

/// Broken runs after which a request counts as the cause.
const BREAKS_TO_BLOCK: u32 = 3;
/// How long a suspect is remembered; a caller repeats within its deadline, some seconds.
const MEMORY: Duration = Duration::from_secs(60);
/// Most suspects that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Requests whose runs were cut off, by a digest of caller, path and body.
#[derive(Debug, Clone, Default)]
pub struct SuspectBook {
    suspects: HashMap<u64, SuspectRecord>,
}

#[derive(Debug, Clone, Copy)]
struct SuspectRecord {
    own: u32,
    reported: u32,
    seen: MonoTime,
}

impl SuspectBook {
    /// Notes a run that ended with its target's connection; returns all breaks known of it.
    pub fn note_break(&mut self, fingerprint: u64, now: MonoTime) -> u32 {
        let record = self.record(fingerprint, now);
        record.own += 1;
        record.own + record.reported
    }

    /// Takes a peer's count.
    pub fn take_report(&mut self, fingerprint: u64, breaks: u32, now: MonoTime) {
        let record = self.record(fingerprint, now);
        record.reported = record.reported.max(breaks);
    }

    /// Whether the request must not be sent again.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64) -> bool {
        let record = self.suspects.get(&fingerprint);
        record.is_some_and(|record| record.own + record.reported >= BREAKS_TO_BLOCK)
    }

    /// This instance's counts, for its peers: those that repeat.
    pub fn counts(&self) -> impl Iterator<Item = (u64, u32)> {
        self.suspects.iter().filter(|(_, record)| record.own > 0).map(|(key, r)| (*key, r.own))
    }

    fn record(&mut self, fingerprint: u64, now: MonoTime) -> &mut SuspectRecord {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, record| now.since(record.seen) < MEMORY);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.clear();
        }
        let fresh = SuspectRecord { own: 0, reported: 0, seen: now };
        let record = self.suspects.entry(fingerprint).or_insert(fresh);
        record.seen = now;
        record
    }
}
