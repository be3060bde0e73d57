use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use kwg_model::{MonoTime, TicketKey};

use super::AnswerRecord;

/// The answers that this core runs, joins or keeps for a resend.
#[derive(Debug)]
pub(crate) struct AnswerShelf {
    records: HashMap<TicketKey, AnswerRecord>,
    kept: VecDeque<KeptAnswer>,
    kept_bytes: u64,
    retention: Duration,
    max_bytes: u64,
}

#[derive(Debug)]
struct KeptAnswer {
    key: TicketKey,
    until: MonoTime,
    bytes: u64,
}

impl AnswerShelf {
    pub(crate) fn new(retention: Duration, max_bytes: u64) -> Self {
        let (records, kept) = (HashMap::new(), VecDeque::new());
        Self { records, kept, kept_bytes: 0, retention, max_bytes }
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

    /// How many answers there are, kept ones among them.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// How many answers have not ended.
    pub(crate) fn running(&self) -> usize {
        self.records.len() - self.kept.len()
    }

    /// Keeps a whole answer for resends, for a time and within a size.
    pub(crate) fn keep(&mut self, now: MonoTime, key: TicketKey) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        let bytes = record.buffer.len();
        self.kept_bytes += bytes;
        self.kept.push_back(KeptAnswer { key, until: now + self.retention, bytes });
        self.forget_old(now);
    }

    /// Drops kept answers past their time, and the oldest ones past the size.
    pub(crate) fn forget_old(&mut self, now: MonoTime) {
        while let Some(oldest) = self.kept.front() {
            if oldest.until > now && self.kept_bytes <= self.max_bytes {
                break;
            }
            self.kept_bytes -= oldest.bytes;
            self.records.remove(&oldest.key);
            self.kept.pop_front();
        }
    }

    /// When the oldest kept answer is to be dropped.
    pub(crate) fn next_forget(&self) -> Option<MonoTime> {
        self.kept.front().map(|oldest| oldest.until)
    }
}
