use kwg_model::MonoTime;

use super::{ReadPurpose, StoreRow, TableLag, TableMirror, TableReading};

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

/// Changes of a table, for a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChanges {
    /// The revision after which there was no change but these; 0 with a revision of 0.
    pub base: u64,
    /// The revision up to which they are all; 0 if they only show the rows that they name.
    pub revision: u64,
    /// The changed rows.
    pub rows: Vec<StoreRow>,
}

/// What has come of changes that a peer sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedChanges {
    /// The rows that were new.
    pub rows: Vec<StoreRow>,
    /// Whether changes before them are missing and have to be pulled from the peer.
    pub has_gap: bool,
}

/// The reply to a peer that lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PullReply {
    /// What has changed since the revision that it knows.
    Changes(RowChanges),
    /// The whole table: which rows were removed since then is not known.
    Copy(TableCopy),
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

    /// Applies a full reading of the table from the store; returns the rows that differ.
    pub fn apply_reading(&mut self, reading: TableReading, purpose: ReadPurpose) -> Vec<StoreRow> {
        self.mirror.merge_reading(reading, purpose)
    }

    /// Applies the copy of a peer. Returns the rows that differ, or `None` if it is older than this copy.
    pub fn apply_copy(&mut self, copy: TableCopy) -> Option<Vec<StoreRow>> {
        self.mirror.replace(copy.rows, copy.revision)
    }

    /// Applies changes that a peer knows. Rows are put in force even if changes before them are missing.
    pub fn apply_changes(&mut self, changes: RowChanges) -> AppliedChanges {
        let RowChanges { base, revision, rows } = changes;
        let has_gap = base > self.mirror.covered_revision();
        let (base, revision) = if has_gap { (0, 0) } else { (base, revision) };
        AppliedChanges { rows: self.mirror.apply(rows, base, revision), has_gap }
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

    /// The reply to a peer that knows all changes up to the revision `known`; none if no more is known here.
    ///
    /// ```
    /// use kwg_gate::{PullReply, StoreRow, TableCopy, TableReplica};
    ///
    /// let row = |key: &str, revision| StoreRow { key: key.to_owned(), value: Some(vec![1]), revision };
    /// let mut replica = TableReplica::default();
    /// replica.apply_copy(TableCopy { revision: 5, rows: vec![row("a", 3)] });
    /// replica.apply_feed(vec![row("b", 6)], 5, 6);
    /// let Some(PullReply::Changes(changes)) = replica.answer_pull(5) else { panic!() };
    /// assert_eq!(changes.rows, [row("b", 6)]);
    /// // Rows that were removed before 5 are not known here.
    /// assert!(matches!(replica.answer_pull(4), Some(PullReply::Copy(_))));
    /// assert_eq!(replica.answer_pull(7), None);
    /// ```
    #[must_use]
    pub fn answer_pull(&self, known: u64) -> Option<PullReply> {
        let revision = self.mirror.covered_revision();
        if !self.mirror.is_filled() || revision < known {
            return None;
        }
        let reply = match self.mirror.changes_since(known) {
            Some(rows) => PullReply::Changes(RowChanges { base: known, revision, rows }),
            None => PullReply::Copy(TableCopy { revision, rows: self.mirror.copied_rows() }),
        };
        Some(reply)
    }
}
