use std::collections::BTreeMap;

use kwg_adapter::StoreRow;

/// A copy of one of the store's tables.
///
/// The store counts all its changes with one number. `revision` is the last number that the store
/// has named, from which its feed goes on; `content` is that of the last change of this table,
/// which instances compare.
#[derive(Debug, Clone, Default)]
pub(crate) struct TableMirror {
    revision: u64,
    content: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    is_filled: bool,
}

impl TableMirror {
    /// The revision behind which the store's feed goes on.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision of the last change that is known here; every earlier one is known too.
    pub(crate) fn content(&self) -> u64 {
        self.content
    }

    /// Whether there has been any reading.
    pub(crate) fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// The rows in the order of their keys.
    pub(crate) fn rows(&self) -> impl Iterator<Item = (&str, u64, &[u8])> {
        self.rows.iter().map(|(key, (revision, value))| (key.as_str(), *revision, value.as_slice()))
    }

    /// Takes changes up to a revision; known ones change nothing. Returns the others.
    pub(crate) fn apply(&mut self, changes: Vec<StoreRow>, revision: u64) -> Vec<StoreRow> {
        let floor = self.content;
        let news: Vec<StoreRow> = changes.into_iter().filter(|row| row.revision > floor).collect();
        for row in &news {
            self.content = self.content.max(row.revision);
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
        news
    }

    /// Takes a full reading that is complete up to `revision`, unless more is known. Returns
    /// whether it was taken.
    pub(crate) fn replace(
        &mut self,
        rows: impl IntoIterator<Item = (String, u64, Vec<u8>)>,
        revision: u64,
    ) -> bool {
        if self.is_filled && revision < self.content {
            return false;
        }
        self.rows =
            rows.into_iter().map(|(key, revision, value)| (key, (revision, value))).collect();
        let newest = self.rows.values().map(|(revision, _)| *revision).max().unwrap_or(0);
        self.content = self.content.max(newest);
        self.revision = self.revision.max(revision);
        self.is_filled = true;
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/table_mirror.rs"]
mod tests;
