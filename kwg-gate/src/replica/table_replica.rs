use kwg_model::MonoTime;

use super::{ReadingState, StoreRow, TableLag, TableMirror};

/// An instance's copy of one of the store's tables. Rows come by the store's feed, by full readings of the
/// table, and from peers: as changes that these have read, and as complete copies.
#[derive(Debug, Clone, Default)]
pub struct TableReplica {
    mirror: TableMirror,
    lag: TableLag,
}

/// A complete copy of a table for a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableCopy {
    /// The revision up to which it is complete.
    pub revision: u64,
    /// The rows.
    pub rows: Vec<StoreRow>,
}

impl TableReplica {
    /// The rows.
    #[must_use]
    pub fn mirror(&self) -> &TableMirror {
        &self.mirror
    }

    /// Applies the changes after the revision `after` up to `revision`, from the store's feed; returns those
    /// that are new.
    pub fn apply_feed(&mut self, rows: Vec<StoreRow>, after: u64, revision: u64) -> Vec<StoreRow> {
        self.mirror.apply(rows, after, revision)
    }

    /// Applies a full reading of the table from the store. Returns the rows that differ, or `None` if the
    /// reading is older than this copy.
    pub fn apply_reading(
        &mut self,
        rows: Vec<StoreRow>,
        revision: u64,
        state: ReadingState,
    ) -> Option<Vec<StoreRow>> {
        self.mirror.replace(rows, revision, state)
    }

    /// Applies the copy of a peer. Returns the rows that differ, or `None` if it is older than this copy.
    pub fn apply_copy(&mut self, copy: TableCopy) -> Option<Vec<StoreRow>> {
        self.mirror.replace(copy.rows, copy.revision, ReadingState::Complete)
    }

    /// Applies changes that a peer has read from the store; there was none between the revision `base` and
    /// the first of them. Returns those that are new, or `None` if changes before them are missing: the copy of
    /// the peer is needed then.
    pub fn apply_changes(&mut self, base: u64, rows: Vec<StoreRow>) -> Option<Vec<StoreRow>> {
        if base > self.mirror.covered_revision() {
            return None;
        }
        let revision = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        Some(self.mirror.apply(rows, base, revision))
    }

    /// Compares the revision of the last change that a peer reports with this copy; returns whether to
    /// pull a copy from that peer now. `store_answers` is whether the store answered this instance's last
    /// call.
    pub fn should_pull(&mut self, reported: u64, store_answers: bool, now: MonoTime) -> bool {
        self.mirror.record_reported(reported);
        let covered = self.mirror.covered_revision();
        match store_answers {
            true => self.lag.should_pull(covered, reported, now),
            false => self.lag.should_pull_at_once(covered, reported, now),
        }
    }

    /// A copy for a peer; none before the first full reading.
    #[must_use]
    pub fn copy(&self) -> Option<TableCopy> {
        let row = |(key, revision, value): (&str, u64, &[u8])| StoreRow {
            key: key.to_owned(),
            value: Some(value.to_vec()),
            revision,
        };
        self.mirror.is_filled().then(|| TableCopy {
            revision: self.mirror.covered_revision(),
            rows: self.mirror.rows().map(row).collect(),
        })
    }
}
