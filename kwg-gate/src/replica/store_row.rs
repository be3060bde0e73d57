/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row, or `None` if the row has been removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change of the row.
    pub revision: u64,
}

impl StoreRow {
    /// The smallest key after this row's, at which the next page of a table starts.
    ///
    /// ```
    /// use kwg_gate::StoreRow;
    ///
    /// let row = StoreRow { key: "a".to_owned(), value: None, revision: 1 };
    /// assert!(*"a" < *row.successor() && *row.successor() < *"a!");
    /// ```
    #[must_use]
    pub fn successor(&self) -> String {
        format!("{}\0", self.key)
    }
}
