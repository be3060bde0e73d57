use std::collections::BTreeMap;

use crate::StoreRow;

/// The rows of a copy of one of the store's tables.
///
/// The store numbers the changes of all tables in one sequence. `revision` is the last number
/// that the store has reported, after which its feed continues. `content_revision` is the number
/// of this table's last change; instances compare it to detect an outdated copy.
///
/// ```
/// use kwg_gate::{StoreRow, TableMirror};
///
/// let mut mirror = TableMirror::default();
/// let row = StoreRow { key: "a".to_owned(), value: Some(vec![1]), revision: 5 };
/// assert_eq!(mirror.apply(vec![row.clone()], 9), [row.clone()]);
/// assert!(mirror.apply(vec![row], 9).is_empty(), "known");
/// assert_eq!((mirror.content_revision(), mirror.revision()), (5, 9));
/// ```
#[derive(Debug, Clone, Default)]
pub struct TableMirror {
    revision: u64,
    content_revision: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    is_filled: bool,
}

impl TableMirror {
    /// The revision after which the store's feed continues.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision of the last change applied; all earlier changes have been applied too.
    #[must_use]
    pub fn content_revision(&self) -> u64 {
        self.content_revision
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

    /// Applies changes up to `revision`, skips those already known, and returns the new ones.
    pub fn apply(&mut self, changes: Vec<StoreRow>, revision: u64) -> Vec<StoreRow> {
        let known = self.content_revision;
        let new_rows: Vec<StoreRow> =
            changes.into_iter().filter(|row| row.revision > known).collect();
        for row in &new_rows {
            self.content_revision = self.content_revision.max(row.revision);
            match &row.value {
                Some(value) => {
                    self.rows.insert(row.key.clone(), (row.revision, value.clone()));
                }
                None => {
                    self.rows.remove(&row.key);
                }
            }
        }
        self.revision = self.revision.max(revision);
        new_rows
    }

    /// Replaces all rows by a full copy that is complete up to `revision`, unless later changes
    /// have been applied. Returns the rows that differ, or `None` if the copy was not applied.
    pub fn replace(&mut self, rows: Vec<StoreRow>, revision: u64) -> Option<Vec<StoreRow>> {
        if self.is_filled && revision < self.content_revision {
            return None;
        }
        let before = std::mem::take(&mut self.rows);
        for StoreRow { key, value, revision } in rows {
            if let Some(value) = value {
                self.rows.insert(key, (revision, value));
            }
        }
        let newest = self.rows.values().map(|(revision, _)| *revision).max().unwrap_or(0);
        self.content_revision = self.content_revision.max(newest);
        self.revision = self.revision.max(revision);
        self.is_filled = true;
        let removed = before.keys().filter(|key| !self.rows.contains_key(*key));
        let removed = removed.map(|key| StoreRow { key: key.clone(), value: None, revision });
        let changed = self.rows.iter().filter(|(key, row)| before.get(*key) != Some(*row));
        let changed = changed.map(|(key, (revision, value))| StoreRow {
            key: key.clone(),
            value: Some(value.clone()),
            revision: *revision,
        });
        Some(removed.chain(changed).collect())
    }
}
