use std::collections::BTreeMap;

use kwg_store::{RowList, RowWrite, TableRow, TxnRequest};
use serde_json::Value;

/// Rows of all tables, each with the version of its last write.
#[derive(Debug, Default)]
pub(super) struct TableState {
    rows: BTreeMap<(String, String), (u64, Value)>,
    /// Version of the last committed transaction.
    last_version: u64,
}

impl TableState {
    /// All rows of a table.
    pub(super) fn rows(&self, table: &str) -> RowList {
        let rows = self.rows.iter().filter(|((name, _), _)| name == table);
        let rows = rows.map(|((_, key), (version, value))| TableRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        RowList { rows: rows.collect() }
    }

    /// The rows of a table whose keys are in `keys`.
    pub(super) fn rows_by_keys(&self, table: &str, keys: &[String]) -> RowList {
        let mut list = self.rows(table);
        list.rows.retain(|row| keys.contains(&row.key));
        list
    }

    /// Commits a transaction if each of its checks matches the row's version, and returns whether
    /// it did. A missing row has version 0.
    pub(super) fn commit(&mut self, txn: TxnRequest) -> bool {
        let version = |table: &str, key: &str| {
            self.rows.get(&(table.to_owned(), key.to_owned())).map_or(0, |(version, _)| *version)
        };
        let checks_pass =
            txn.checks.iter().all(|check| version(&check.table, &check.key) == check.version);
        if !checks_pass {
            return false;
        }
        self.last_version += 1;
        for RowWrite { table, key, value } in txn.writes {
            match value {
                Some(value) => self.rows.insert((table, key), (self.last_version, value)),
                None => self.rows.remove(&(table, key)),
            };
        }
        true
    }
}
