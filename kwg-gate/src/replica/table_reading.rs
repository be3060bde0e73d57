use super::StoreRow;

/// A full reading of a table from the store.
///
/// The store may answer with rows as they were some seconds ago, beside its newest revision. So a reading
/// proves only what its own rows show, and what a row shows that was written before it.
///
/// ```
/// use kwg_gate::{StoreRow, TableReading};
///
/// let row = |key: &str, revision| StoreRow { key: key.to_owned(), value: Some(vec![1]), revision };
/// let mut reading = TableReading::new(vec![row("a", 5), row("b", 3)], 9);
/// assert_eq!((reading.proved(), reading.revision()), (5, 9));
/// // A page that may show a later moment, or an earlier one.
/// reading.add_page(vec![row("c", 4)], 12);
/// assert_eq!((reading.proved(), reading.revision()), (4, 9));
/// assert_eq!(reading.with_proof(7).proved(), 7);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableReading {
    rows: Vec<StoreRow>,
    revision: u64,
    proved: u64,
}

/// What a full reading of a table is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPurpose {
    /// The feed continues after it.
    Start,
    /// It shows what is missing in what is known; the feed continues where it was.
    Check,
}

impl TableReading {
    /// The first page, and the revision that the store reported with it.
    #[must_use]
    pub fn new(rows: Vec<StoreRow>, revision: u64) -> Self {
        let proved = last_revision(&rows);
        Self { rows, revision, proved }
    }

    /// Adds a page. Rows of earlier pages may have changed meanwhile.
    pub fn add_page(&mut self, rows: Vec<StoreRow>, revision: u64) {
        self.proved = self.proved.min(last_revision(&rows));
        self.revision = self.revision.min(revision);
        self.rows.extend(rows);
    }

    /// The reading, known to show all changes up to the revision `proof`: that of a row of another table
    /// that the store's reads had shown before this reading began.
    #[must_use]
    pub fn with_proof(self, proof: u64) -> Self {
        Self { proved: self.proved.max(proof), ..self }
    }

    /// The rows.
    #[must_use]
    pub fn rows(&self) -> &[StoreRow] {
        &self.rows
    }

    /// The revision that the store reported.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision up to which it is proved to show all changes.
    #[must_use]
    pub fn proved(&self) -> u64 {
        self.proved
    }

    /// The rows, for a copy of the table.
    #[must_use]
    pub fn into_rows(self) -> Vec<StoreRow> {
        self.rows
    }
}

fn last_revision(rows: &[StoreRow]) -> u64 {
    rows.iter().map(|row| row.revision).max().unwrap_or(0)
}
