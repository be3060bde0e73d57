use std::collections::{BTreeMap, BTreeSet};

use super::{ReadPurpose, TableReading};
use crate::StoreRow;

/// Largest number of removed rows whose revisions are kept, the newest ones.
const MAX_REMOVED: usize = 1_024;

/// The rows of a copy of one of the store's tables.
///
/// The store numbers the changes of all tables in one sequence. A full reading has no row for a
/// removal and may be stale, so how far a copy is complete does not follow from the revision that the store
/// reports, and is kept beside the rows: it is complete up to what readings and peers have proved, and the feed
/// adds to that once the revision from which it has been followed is proved.
///
/// ```
/// use kwg_gate::{ReadPurpose, StoreRow, TableMirror, TableReading};
///
/// let mut mirror = TableMirror::default();
/// let row = |revision| StoreRow { key: "a".to_owned(), value: Some(vec![1]), revision };
/// mirror.merge_reading(TableReading::new(vec![row(5)], 9), ReadPurpose::Start);
/// assert_eq!((mirror.covered_revision(), mirror.revision()), (5, 9));
/// assert_eq!(mirror.apply(vec![row(12)], 9, 12), [row(12)]);
/// assert_eq!(mirror.covered_revision(), 5, "changes between 5 and 9 may be missing");
/// mirror.merge_reading(TableReading::new(vec![row(12)], 12), ReadPurpose::Check);
/// assert_eq!(mirror.covered_revision(), 12);
/// ```
#[derive(Debug, Clone, Default)]
pub struct TableMirror {
    /// The revision after which the store's feed continues.
    revision: u64,
    /// The revision from which on the feed has been followed without a gap.
    followed_from: u64,
    /// The revision up to which all changes are known.
    covered: u64,
    /// The last change that is known, also from reports of peers.
    newest: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    removed: BTreeMap<String, Removal>,
    /// The revision after which all removals are in `removed`.
    removals_from: u64,
    is_filled: bool,
}

/// What is known of a removal.
#[derive(Debug, Clone, Copy)]
struct Removal {
    /// States of the row up to this revision are ignored.
    revision: u64,
    /// The row was removed at this revision at the latest.
    latest: u64,
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
        match self.is_proved() {
            true => self.content_revision().max(self.removals_from),
            false => self.followed_from,
        }
    }

    /// Whether it is complete from the beginning to where the feed continues.
    #[must_use]
    pub fn is_proved(&self) -> bool {
        self.covered >= self.followed_from
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

    /// A copy of the rows, in key order.
    #[must_use]
    pub fn copied_rows(&self) -> Vec<StoreRow> {
        let row = |(key, revision, value): (&str, u64, &[u8])| StoreRow {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            revision,
        };
        self.rows().map(row).collect()
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

    /// The changes after a revision, for a peer that knows all up to it; none if it cannot be told which rows
    /// have been removed since.
    #[must_use]
    pub fn changes_since(&self, after: u64) -> Option<Vec<StoreRow>> {
        if !self.is_filled || after < self.removals_from || after > self.covered {
            return None;
        }
        let later = self.copied_rows().into_iter().filter(|row| row.revision > after);
        let removed = self.removed.iter().filter(|(_, removal)| removal.latest > after);
        let removed = removed.map(|(key, removal)| StoreRow {
            key: key.clone(),
            value: None,
            revision: removal.revision,
        });
        Some(later.chain(removed).collect())
    }

    /// Applies the changes after the revision `after` up to `revision`, skips those already known, and
    /// returns the new ones.
    pub fn apply(&mut self, changes: Vec<StoreRow>, after: u64, revision: u64) -> Vec<StoreRow> {
        let new_rows: Vec<StoreRow> = changes.into_iter().filter(|row| self.is_new(row)).collect();
        for row in &new_rows {
            self.put(row.clone(), row.revision);
        }
        if after > self.revision {
            self.followed_from = after;
        }
        self.revision = self.revision.max(revision);
        if after <= self.covered {
            self.covered = self.covered.max(revision);
        }
        self.extend_coverage();
        new_rows
    }

    /// Replaces the rows by a peer's copy that is complete up to `revision`, unless it is older than this
    /// one. Rows of which a later state is known keep it. Returns the rows that differ, or `None` if the copy
    /// was not applied.
    pub fn replace(&mut self, rows: Vec<StoreRow>, revision: u64) -> Option<Vec<StoreRow>> {
        if self.is_filled && revision < self.covered {
            return None;
        }
        let changed = self.absorb(rows, revision, revision);
        self.record_proof(revision);
        Some(changed)
    }

    /// Merges a full reading of the table from the store: a row that is later than the known one, and the
    /// removal of a row that is missing, if the reading is proved to be later than the known state. Returns
    /// the rows that differ.
    pub fn merge_reading(&mut self, reading: TableReading, purpose: ReadPurpose) -> Vec<StoreRow> {
        let (proved, revision) = (reading.proved(), reading.revision());
        if purpose == ReadPurpose::Start && revision > self.revision {
            (self.followed_from, self.revision) = (revision, revision);
        }
        let changed = self.absorb(reading.into_rows(), proved, revision.max(proved));
        self.record_proof(proved);
        changed
    }

    /// Merges all rows as they were at the revision `moment` or later, at `latest` at the latest.
    fn absorb(&mut self, rows: Vec<StoreRow>, moment: u64, latest: u64) -> Vec<StoreRow> {
        let present: BTreeSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
        let is_missing = |key: &str, known: u64| known <= moment && !present.contains(key);
        let missing = self.rows.iter().filter(|(key, (known, _))| is_missing(key, *known));
        let removed =
            missing.map(|(key, _)| StoreRow { key: key.clone(), value: None, revision: moment });
        let mut changed: Vec<StoreRow> = removed.collect();
        let count = changed.len();
        changed.extend(rows.into_iter().filter(|row| self.is_new(row)));
        for (number, row) in changed.iter().enumerate() {
            let latest = if number < count { latest } else { row.revision };
            self.put(row.clone(), latest);
        }
        self.is_filled = true;
        changed
    }

    /// Records that all rows are known as they were at a revision, or later.
    fn record_proof(&mut self, revision: u64) {
        if revision > self.covered {
            self.covered = revision;
            // Rows that came and went before were never known here.
            self.removals_from = self.removals_from.max(revision);
        }
        self.extend_coverage();
    }

    /// Adds what the feed has brought to what is proved, if they adjoin.
    fn extend_coverage(&mut self) {
        if self.is_proved() {
            self.covered = self.covered.max(self.revision);
            self.revision = self.covered;
        }
    }

    /// Whether a row is later than the known state under its key.
    fn is_new(&self, row: &StoreRow) -> bool {
        let known = self.row_revision(&row.key);
        let removed = self.removed.get(&row.key).map_or(0, |removal| removal.revision);
        row.revision > known.max(removed)
    }

    /// Records a row; a removal was at the revision `latest` at the latest.
    fn put(&mut self, row: StoreRow, latest: u64) {
        self.newest = self.newest.max(latest);
        let StoreRow { key, value, revision } = row;
        match value {
            Some(value) => {
                self.removed.remove(&key);
                self.rows.insert(key, (revision, value));
            }
            None => {
                self.rows.remove(&key);
                self.removed.insert(key, Removal { revision, latest });
                if self.removed.len() > MAX_REMOVED {
                    let oldest = self.removed.iter().min_by_key(|(_, removal)| removal.latest);
                    let oldest = oldest.map(|(key, removal)| (key.clone(), removal.latest));
                    if let Some((key, latest)) = oldest {
                        self.removed.remove(&key);
                        self.removals_from = self.removals_from.max(latest);
                    }
                }
            }
        }
    }
}
