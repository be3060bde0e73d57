//! A store with a table of targets, for tests under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kwg_gate::{ColdNotice, ServiceName, StoreRow, TableReading, TargetEntry, TargetId};
use kwg_model::MonoTime;

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
    /// The time of the last step of the fleet.
    pub now: MonoTime,
    changes: Vec<StoreRow>,
    /// When each revision was written.
    written: Vec<MonoTime>,
    /// Revision up to which the feed's history is dropped.
    pub dropped: u64,
    /// Whether it answers no call.
    pub is_silent: bool,
    /// Whether its feed tells nothing of changes.
    pub is_deaf: bool,
    /// How readings are stale; none while they show the newest rows.
    stale: Option<StaleReads>,
    /// Whether a stale reading reports the revision of its rows, and not the newest one.
    pub reports_shown_revision: bool,
    /// The revisions of each instance's own row.
    own_rows: HashMap<usize, Vec<u64>>,
}

/// Which rows stale readings show.
#[derive(Debug)]
enum StaleReads {
    /// Those at a revision.
    Frozen { revision: u64 },
    /// Those of some time ago.
    Behind { lag: Duration },
}

impl StoreModel {
    /// Writes or removes a row; returns the revision of the change.
    pub fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.begin_revision();
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
        self.begin_revision();
    }

    fn begin_revision(&mut self) {
        self.revision += 1;
        self.written.push(self.now);
    }

    /// Lets readings return what is in the store now, until [`Self::thaw_reads`].
    pub fn freeze_reads(&mut self) {
        self.stale.get_or_insert(StaleReads::Frozen { revision: self.revision });
    }

    /// Lets readings return what was in the store `lag` ago, until [`Self::thaw_reads`].
    pub fn lag_reads(&mut self, lag: Duration) {
        self.stale = Some(StaleReads::Behind { lag });
    }

    /// Lets readings return what is in the store.
    pub fn thaw_reads(&mut self) {
        self.stale = None;
    }

    /// Writes an instance's own row, in another table.
    pub fn write_own_row(&mut self, instance: usize) {
        self.begin_revision();
        self.own_rows.entry(instance).or_default().push(self.revision);
    }

    /// The revision of an instance's own row as readings show it, or 0.
    pub fn own_row(&self, instance: usize) -> u64 {
        let limit = self.shown_revision();
        let revisions = self.own_rows.get(&instance).into_iter().flatten();
        revisions.copied().filter(|revision| *revision <= limit).max().unwrap_or(0)
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.dropped = self.revision;
    }

    /// The revision whose rows readings show.
    fn shown_revision(&self) -> u64 {
        match &self.stale {
            None => self.revision,
            Some(StaleReads::Frozen { revision }) => *revision,
            Some(StaleReads::Behind { lag }) => {
                self.written.partition_point(|written| *written + *lag <= self.now) as u64
            }
        }
    }

    /// A full reading of the table.
    pub fn read(&self) -> TableReading {
        let shown = self.shown_revision();
        let mut rows = BTreeMap::new();
        for row in self.changes.iter().filter(|row| row.revision <= shown) {
            match row.value {
                Some(_) => rows.insert(&row.key, row),
                None => rows.remove(&row.key),
            };
        }
        let revision = if self.reports_shown_revision { shown } else { self.revision };
        TableReading::new(rows.into_values().cloned().collect(), revision)
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
