use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use kwg_model::{MonoTime, TicketKey};

use super::AnswerRecord;

/// Answers that this core runs or relays, and complete answers retained for resends.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    records: HashMap<TicketKey, AnswerRecord>,
    retained: VecDeque<RetainedAnswer>,
    retained_bytes: u64,
    retention: Duration,
    max_bytes: u64,
}

#[derive(Debug)]
struct RetainedAnswer {
    key: TicketKey,
    expires_at: MonoTime,
    bytes: u64,
}

impl AnswerStore {
    pub(crate) fn new(retention: Duration, max_bytes: u64) -> Self {
        let (records, retained) = (HashMap::new(), VecDeque::new());
        Self { records, retained, retained_bytes: 0, retention, max_bytes }
    }

    pub(crate) fn get_mut(&mut self, key: &TicketKey) -> Option<&mut AnswerRecord> {
        self.records.get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: TicketKey, record: AnswerRecord) -> &mut AnswerRecord {
        self.records.entry(key).insert_entry(record).into_mut()
    }

    pub(crate) fn remove(&mut self, key: &TicketKey) -> Option<AnswerRecord> {
        self.records.remove(key)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&TicketKey, &mut AnswerRecord)> {
        self.records.iter_mut()
    }

    /// Returns the number of answers, including retained ones.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of answers that have not ended.
    pub(crate) fn running_count(&self) -> usize {
        self.records.len() - self.retained.len()
    }

    /// Retains a complete answer for resends, limited by age and total size.
    pub(crate) fn retain(&mut self, now: MonoTime, key: TicketKey) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let bytes = record.buffer.len();
        self.retained_bytes += bytes;
        self.retained.push_back(RetainedAnswer { key, expires_at: now + self.retention, bytes });
        self.evict_expired(now);
    }

    /// Removes retained answers that have expired, and the oldest ones while the size limit is
    /// exceeded.
    pub(crate) fn evict_expired(&mut self, now: MonoTime) {
        while let Some(oldest) = self.retained.front() {
            if oldest.expires_at > now && self.retained_bytes <= self.max_bytes {
                break;
            }
            self.retained_bytes -= oldest.bytes;
            self.records.remove(&oldest.key);
            self.retained.pop_front();
        }
    }

    /// Returns the time at which the oldest retained answer expires.
    pub(crate) fn next_expiry(&self) -> Option<MonoTime> {
        self.retained.front().map(|oldest| oldest.expires_at)
    }
}
