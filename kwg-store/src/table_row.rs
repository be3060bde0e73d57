use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One row as the table service gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key, unique in its table.
    pub key: String,
    /// The service's version of the row; zero stands for a row that is not there.
    pub version: u64,
    /// The content.
    pub value: Value,
}

/// All rows of a table at one moment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowList {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The table.
    pub table: String,
    /// The row.
    pub key: String,
    /// The version that it must have; zero if it must not be there.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The table.
    pub table: String,
    /// The row.
    pub key: String,
    /// The new content; `None` removes the row.
    pub value: Option<Value>,
}

/// A transaction: all writes if all conditions hold, otherwise none.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// The conditions.
    pub checks: Vec<RowCheck>,
    /// The writes.
    pub writes: Vec<RowWrite>,
}
