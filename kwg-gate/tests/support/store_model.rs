//! A store with a table of targets, for tests under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kwg_gate::{ColdNotice, ServiceName, StoreRow, TargetEntry, TargetId};

/// Time after which the kernel closes a connection whose probes are not answered.
pub const PROBED_LIMIT: Duration = Duration::from_millis(2_000);

/// A number in [0, 1) for each call, the same in each run.
#[derive(Debug)]
pub struct SeededDraws(u64);

impl SeededDraws {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() * bound as f64) as usize
    }
}

/// The store: its rows, and the changes that its feed still has.
#[derive(Debug, Default)]
pub struct StoreModel {
    pub revision: u64,
    pub rows: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<StoreRow>,
    /// Revision up to which the feed's history is dropped.
    pub dropped: u64,
    /// Whether it answers no call.
    pub is_silent: bool,
    /// Whether its feed tells nothing of changes.
    pub is_deaf: bool,
    /// An earlier moment, whose rows readings return with the newest revision.
    stale: Option<StaleMoment>,
    /// The revisions of each instance's own row.
    own_rows: HashMap<usize, Vec<u64>>,
}

/// What readings return while they are stale.
#[derive(Debug)]
struct StaleMoment {
    revision: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
}

impl StoreModel {
    /// Writes or removes a row; returns the revision of the change.
    pub fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.revision += 1;
        match value {
            Some(value) => self.rows.insert(key.to_owned(), (self.revision, value.to_vec())),
            None => self.rows.remove(key),
        };
        let value = value.map(<[u8]>::to_vec);
        self.changes.push(StoreRow { key: key.to_owned(), value, revision: self.revision });
        self.revision
    }

    /// A change of another table.
    pub fn write_elsewhere(&mut self) {
        self.revision += 1;
    }

    /// Lets readings return what is in the store now, until [`Self::thaw_reads`].
    pub fn freeze_reads(&mut self) {
        let (revision, rows) = (self.revision, self.rows.clone());
        self.stale.get_or_insert(StaleMoment { revision, rows });
    }

    /// Lets readings return what is in the store.
    pub fn thaw_reads(&mut self) {
        self.stale = None;
    }

    /// Writes an instance's own row, in another table.
    pub fn write_own_row(&mut self, instance: usize) {
        self.revision += 1;
        self.own_rows.entry(instance).or_default().push(self.revision);
    }

    /// The revision of an instance's own row as readings show it, or 0.
    pub fn own_row(&self, instance: usize) -> u64 {
        let limit = self.stale.as_ref().map_or(u64::MAX, |moment| moment.revision);
        let revisions = self.own_rows.get(&instance).into_iter().flatten();
        revisions.copied().filter(|revision| *revision <= limit).max().unwrap_or(0)
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.dropped = self.revision;
    }

    pub fn read(&self) -> Vec<StoreRow> {
        let rows = self.stale.as_ref().map_or(&self.rows, |moment| &moment.rows).iter();
        let row = |(key, (revision, value)): (&String, &(u64, Vec<u8>))| StoreRow {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *revision,
        };
        rows.map(row).collect()
    }

    pub fn changes_after(&self, after: u64) -> Vec<StoreRow> {
        if self.is_deaf {
            return Vec::new();
        }
        self.changes.iter().filter(|row| row.revision > after).cloned().collect()
    }
}

/// An entry of a target.
pub fn target_entry(key: &str, is_draining: bool) -> TargetEntry {
    TargetEntry {
        id: TargetId::new(key),
        service: ServiceName::new("llm"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: "graz".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        is_draining,
        born: 1,
        cold: ColdNotice::default(),
    }
}
