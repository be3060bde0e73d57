use std::collections::BTreeMap;

use kwg_adapter::StoreRow;

/// A copy of one of the store's tables. Its revision only grows.
#[derive(Debug, Clone, Default)]
pub(crate) struct TableMirror {
    revision: u64,
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    is_filled: bool,
}

impl TableMirror {
    /// The revision up to which the copy is complete.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether there has been any reading.
    pub(crate) fn is_filled(&self) -> bool {
        self.is_filled
    }

    /// The rows in the order of their keys.
    pub(crate) fn rows(&self) -> impl Iterator<Item = (&str, u64, &[u8])> {
        self.rows.iter().map(|(key, (revision, value))| (key.as_str(), *revision, value.as_slice()))
    }

    /// Takes changes up to a revision; older ones change nothing. Returns the changed rows.
    pub(crate) fn apply(&mut self, changes: Vec<StoreRow>, revision: u64) -> Vec<StoreRow> {
        let floor = self.revision;
        let news: Vec<StoreRow> = changes.into_iter().filter(|row| row.revision > floor).collect();
        for row in &news {
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

    /// Takes a full reading, unless a later one is there. Returns whether it was taken.
    pub(crate) fn replace(
        &mut self,
        rows: impl IntoIterator<Item = (String, u64, Vec<u8>)>,
        revision: u64,
    ) -> bool {
        if self.is_filled && revision <= self.revision {
            return false;
        }
        self.rows =
            rows.into_iter().map(|(key, revision, value)| (key, (revision, value))).collect();
        self.revision = revision;
        self.is_filled = true;
        true
    }
}
