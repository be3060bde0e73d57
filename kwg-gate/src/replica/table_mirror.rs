use std::collections::{BTreeMap, BTreeSet};

use crate::StoreRow;

/// Largest number of removed rows whose revisions are kept, the newest ones.
const MAX_REMOVED: usize = 1_024;

/// The rows of a copy of one of the store's tables.
///
/// The store numbers the changes of all tables in one sequence. A full reading has no row for a
/// removal, so how far a copy is complete does not follow from its rows and is kept beside them.
///
/// ```
/// use kwg_gate::{StoreRow, TableMirror};
///
/// let mut mirror = TableMirror::default();
/// let row = StoreRow { key: "a".to_owned(), value: Some(vec![1]), revision: 5 };
/// assert_eq!(mirror.apply(vec![row.clone()], 0, 9), [row.clone()]);
/// assert!(mirror.apply(vec![row], 0, 9).is_empty(), "known");
/// assert_eq!((mirror.content_revision(), mirror.covered_revision()), (5, 9));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TableMirror {
    /// The last revision that the store has reported.
    revision: u64,
    /// The revision up to which all changes are known.
    covered: u64,
    /// The last change that is known, also from reports of peers.
    newest: u64,
    /// A revision after which no change is known; the last change may be an earlier one.
    change_bound: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    /// Keys of removed rows; earlier states of these rows are ignored.
    removed: BTreeMap<String, u64>,
    is_filled: bool,
}

/// Whether a reading of the store is known to be complete up to its revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadingState {
    /// It is complete.
    Complete,
    /// It may be older than its revision says: the store has dropped its history just before.
    MaybeStale,
}

impl TableMirror {
    /// The revision after which the store's feed continues.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision up to which all changes are known.
    #[must_use]
    pub fn covered_revision(&self) -> u64 {
        self.covered
    }

    /// The revision of the last known change up to [`Self::covered_revision`], which instances report to
    /// each other.
    #[must_use]
    pub fn content_revision(&self) -> u64 {
        self.newest.min(self.covered)
    }

    /// The revision after which there was no change before the next one that the feed yields.
    #[must_use]
    pub fn change_bound(&self) -> u64 {
        self.change_bound
    }

    /// Records that a peer knows of a change at `revision`. A full reading does not tell when a missing row
    /// was removed; peers that have seen the change do.
    pub fn record_reported(&mut self, revision: u64) {
        if revision <= self.covered {
            self.newest = self.newest.max(revision);
        }
    }

    /// Whether a full copy of the table has been applied.
    #[must_use]
    pub fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// The rows in key order, with their revisions.
    pub fn rows(&self) -> impl Iterator<Item = (&str, u64, &[u8])> {
        self.rows.iter().map(|(key, (revision, value))| (key.as_str(), *revision, value.as_slice()))
    }

    /// The revision of a row, or 0 if it is not known.
    #[must_use]
    pub fn row_revision(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |(revision, _)| *revision)
    }

    /// The value of a row at this revision; none if the row has another one.
    #[must_use]
    pub fn row(&self, key: &str, revision: u64) -> Option<&[u8]> {
        let row = self.rows.get(key).filter(|(known, _)| *known == revision);
        row.map(|(_, value)| value.as_slice())
    }

    /// Applies the changes after the revision `after` up to `revision`, skips those already known, and
    /// returns the new ones.
    pub fn apply(&mut self, changes: Vec<StoreRow>, after: u64, revision: u64) -> Vec<StoreRow> {
        if let Some(last) = changes.iter().map(|row| row.revision).max() {
            self.change_bound = self.change_bound.max(last);
        }
        let new_rows: Vec<StoreRow> = changes.into_iter().filter(|row| self.is_new(row)).collect();
        for row in &new_rows {
            self.newest = self.newest.max(row.revision);
            self.put(row.clone());
        }
        if after <= self.covered {
            self.covered = self.covered.max(revision);
        }
        self.revision = self.revision.max(revision);
        new_rows
    }

    /// Replaces the rows by a full copy of the table, unless it is older than this one. Rows of which a
    /// later state is known keep it. Returns the rows that differ, or `None` if the copy was not
    /// applied.
    pub fn replace(
        &mut self,
        rows: Vec<StoreRow>,
        revision: u64,
        state: ReadingState,
    ) -> Option<Vec<StoreRow>> {
        if self.is_filled && revision < self.covered {
            return None;
        }
        let last = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        let moment = match state {
            ReadingState::Complete => revision,
            ReadingState::MaybeStale => last,
        };
        let copied: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing = |key: &str, known: u64| known <= moment && !copied.contains(key);
        let missing = self.rows.iter().filter(|(key, (known, _))| is_missing(key, *known));
        let removed =
            missing.map(|(key, _)| StoreRow { key: key.clone(), value: None, revision: moment });
        let mut changed: Vec<StoreRow> = removed.collect();
        changed.extend(rows.into_iter().filter(|row| self.is_new(row)));
        for row in &changed {
            // A row that is missing was removed by then; others may not know it.
            self.newest = self.newest.max(row.revision);
            self.put(row.clone());
        }
        if state == ReadingState::Complete {
            self.covered = self.covered.max(revision);
        }
        self.newest = self.newest.max(last);
        self.change_bound = self.change_bound.max(revision);
        self.revision = self.revision.max(revision);
        self.is_filled = true;
        Some(changed)
    }

    /// Whether a row is later than the known state under its key.
    fn is_new(&self, row: &StoreRow) -> bool {
        let known = self.row_revision(&row.key);
        let removed = self.removed.get(&row.key).copied().unwrap_or(0);
        row.revision > known.max(removed)
    }

    fn put(&mut self, row: StoreRow) {
        let StoreRow { key, value, revision } = row;
        match value {
            Some(value) => {
                self.removed.remove(&key);
                self.rows.insert(key, (revision, value));
            }
            None => {
                self.rows.remove(&key);
                self.removed.insert(key, revision);
                if self.removed.len() > MAX_REMOVED {
                    let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
                    let oldest = oldest.map(|(key, _)| key.clone());
                    oldest.and_then(|key| self.removed.remove(&key));
                }
            }
        }
    }
}
