//! A store with a table of targets, for tests under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::BTreeMap;

use kwg_gate::StoreRow;

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
    /// Rows as they were at an earlier moment, which readings return with the newest revision.
    pub stale: Option<BTreeMap<String, (u64, Vec<u8>)>>,
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

    /// Drops the history.
    pub fn compact(&mut self) {
        self.dropped = self.revision;
    }

    pub fn read(&self) -> Vec<StoreRow> {
        let rows = self.stale.as_ref().unwrap_or(&self.rows).iter();
        let row = |(key, (revision, value)): (&String, &(u64, Vec<u8>))| StoreRow {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *revision,
        };
        rows.map(row).collect()
    }

    pub fn changes_after(&self, after: u64) -> Vec<StoreRow> {
        self.changes.iter().filter(|row| row.revision > after).cloned().collect()
    }
}
