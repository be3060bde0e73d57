use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row as the table service returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key, unique in its table.
    pub key: String,
    /// The service's version of the row; zero stands for a row that does not exist.
    pub version: u64,
    /// The row's content.
    pub value: Value,
}

/// Rows of a table in one consistent snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowList {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// Precondition of a transaction: a row has a given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The table.
    pub table: String,
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; zero if it must not exist.
    pub version: u64,
}

/// Write or removal of a row in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The table.
    pub table: String,
    /// The key of the row.
    pub key: String,
    /// The new content; `None` removes the row.
    pub value: Option<Value>,
}

/// A transaction, which applies all writes if all checks hold, and none otherwise.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// The preconditions.
    pub checks: Vec<RowCheck>,
    /// The writes.
    pub writes: Vec<RowWrite>,
}
