use std::collections::BTreeMap;

use kwg_store::{RowList, RowWrite, TableRow, TxnRequest};
use serde_json::Value;

/// Tables whose rows carry versions.
#[derive(Debug, Default)]
pub(super) struct TableState {
    rows: BTreeMap<(String, String), (u64, Value)>,
    next_version: u64,
}

impl TableState {
    /// Every row of a table.
    pub(super) fn rows(&self, table: &str) -> RowList {
        let rows = self.rows.iter().filter(|((name, _), _)| name == table);
        let rows = rows.map(|((_, key), (version, value))| TableRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        });
        RowList { rows: rows.collect() }
    }

    /// The rows of a table that have these keys.
    pub(super) fn rows_of(&self, table: &str, keys: &[String]) -> RowList {
        let mut list = self.rows(table);
        list.rows.retain(|row| keys.contains(&row.key));
        list
    }

    /// Commits a transaction if all its conditions hold.
    pub(super) fn commit(&mut self, txn: TxnRequest) -> bool {
        let version = |table: &str, key: &str| {
            self.rows.get(&(table.to_owned(), key.to_owned())).map_or(0, |(version, _)| *version)
        };
        let holds =
            txn.checks.iter().all(|check| version(&check.table, &check.key) == check.version);
        if !holds {
            return false;
        }
        self.next_version += 1;
        for RowWrite { table, key, value } in txn.writes {
            match value {
                Some(value) => self.rows.insert((table, key), (self.next_version, value)),
                None => self.rows.remove(&(table, key)),
            };
        }
        true
    }
}
