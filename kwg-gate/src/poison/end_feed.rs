use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use crate::{EndKey, EndRecord, SuspectKey};

/// Maximum number of changed records in a message that is not complete: about 1.2 kB. The others follow in the next ones.
const MAX_NEWS: usize = 64;

/// Selects the records that the next message contains: those that have changed since the last one, of the suspects
/// with most ends first, and some of the others in turn.
///
/// ```
/// use kwg_gate::EndFeed;
///
/// let mut feed = EndFeed::default();
/// assert!(!feed.has_news(&[]));
/// assert!(feed.take(&[], 16).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct EndFeed {
    /// What was last sent of each record.
    sent: HashMap<EndKey, [bool; 4]>,
    /// Where the repeated records continue.
    cursor: usize,
}

impl EndFeed {
    /// Whether any record has changed since it was last sent.
    #[must_use]
    pub fn has_news(&self, records: &[EndRecord]) -> bool {
        records.iter().any(|record| self.is_news(record))
    }

    /// The records to send: those that have changed and up to `repeats` of the others, in turn.
    pub fn take(&mut self, records: &[EndRecord], repeats: usize) -> Vec<EndRecord> {
        let (mut taken, known): (Vec<EndRecord>, Vec<EndRecord>) =
            records.iter().partition(|record| self.is_news(record));
        if taken.len() > MAX_NEWS {
            let mut counts: HashMap<SuspectKey, usize> = HashMap::new();
            for record in records.iter().filter(|record| !record.is_void) {
                *counts.entry(record.key.suspect).or_default() += 1;
            }
            let count = |record: &EndRecord| counts.get(&record.key.suspect).copied();
            taken.sort_by_key(|record| (Reverse(count(record)), record.has_begun, record.age_ms));
            taken.truncate(MAX_NEWS);
        }
        let repeats = repeats.min(known.len());
        taken.extend(known.iter().cycle().skip(self.cursor).take(repeats));
        self.cursor = (self.cursor + repeats) % known.len().max(1);
        self.sent.extend(taken.iter().map(|record| (record.key, record.flags())));
        let kept: HashSet<EndKey> = records.iter().map(|record| record.key).collect();
        self.sent.retain(|key, _| kept.contains(key));
        taken
    }

    /// All records, for a complete message.
    pub fn take_all(&mut self, records: &[EndRecord]) -> Vec<EndRecord> {
        self.sent = records.iter().map(|record| (record.key, record.flags())).collect();
        records.to_vec()
    }

    fn is_news(&self, record: &EndRecord) -> bool {
        self.sent.get(&record.key) != Some(&record.flags())
    }
}
