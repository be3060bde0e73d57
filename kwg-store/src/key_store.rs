use std::collections::BTreeMap;

use kwg_model::DispatchTicket;
use serde::{Deserialize, Serialize};
use serde_json::{from_value, to_value};
use snafu::ResultExt;

use crate::platform_error::RowSnafu;
use crate::{PlatformError, RowCheck, RowWrite, TableClient, TxnOutcome, TxnRequest};

/// The table that binds idempotency keys to tickets.
const KEY_TABLE: &str = "keys";
/// How often a batch is tried before its callers are told that the store does not answer.
const BIND_TRIES: u32 = 4;
/// Most rows that are removed at a time.
const SWEEP_ROWS: usize = 200;

/// Binds callers' idempotency keys to tickets, many in one write.
///
/// A key is bound once, by whoever comes first; everybody else is given that ticket. A lost
/// answer is settled by reading.
#[derive(Debug, Clone)]
pub struct KeyStore(TableClient);

#[derive(Debug, Serialize, Deserialize)]
struct KeyRow {
    ticket: DispatchTicket,
    expires_ms: u64,
}

impl KeyStore {
    /// The keys behind a client of the table service.
    #[must_use]
    pub fn new(client: TableClient) -> Self {
        Self(client)
    }

    /// Binds each key to its ticket unless it is bound, and gives the tickets that the keys are
    /// bound to. Times are in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// [`PlatformError`] if the service does not answer: any of the keys may be bound now.
    pub async fn bind(
        &self,
        batch: &BTreeMap<String, DispatchTicket>,
        expires_ms: u64,
    ) -> Result<BTreeMap<String, DispatchTicket>, PlatformError> {
        let keys: Vec<String> = batch.keys().cloned().collect();
        let mut bound = BTreeMap::new();
        let mut last_error = None;
        for _ in 0..BIND_TRIES {
            // Reading first settles what an earlier try of this batch has written.
            let rows = match self.0.rows_of(KEY_TABLE, &keys).await {
                Ok(list) => list.rows,
                Err(error) => {
                    last_error = Some(error);
                    continue;
                }
            };
            for row in rows {
                let value: KeyRow = from_value(row.value).context(RowSnafu { key: &row.key })?;
                bound.insert(row.key, value.ticket);
            }
            let open = batch.iter().filter(|(key, _)| !bound.contains_key(*key));
            let open: BTreeMap<&String, &DispatchTicket> = open.collect();
            if open.is_empty() {
                return Ok(bound);
            }
            match self.0.commit(&bind_txn(&open, expires_ms)?).await {
                Ok(TxnOutcome::Committed) => {
                    let fresh = open.into_iter().map(|(key, ticket)| (key.clone(), ticket.clone()));
                    bound.extend(fresh.collect::<Vec<_>>());
                    return Ok(bound);
                }
                Ok(TxnOutcome::Conflict) => {}
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or(PlatformError::Contended { table: KEY_TABLE }))
    }

    /// Removes rows past their life; gives how many.
    ///
    /// # Errors
    /// [`PlatformError`] if the service does not answer.
    pub async fn sweep(&self, now_ms: u64) -> Result<usize, PlatformError> {
        let rows = self.0.rows(KEY_TABLE).await?.rows;
        let is_old = |row: &crate::TableRow| {
            from_value::<KeyRow>(row.value.clone()).is_ok_and(|value| value.expires_ms < now_ms)
        };
        let old: Vec<crate::TableRow> = rows.into_iter().filter(is_old).take(SWEEP_ROWS).collect();
        if old.is_empty() {
            return Ok(0);
        }
        let checks = old.iter().map(|row| check(&row.key, row.version)).collect();
        let writes = old.iter().map(|row| write(&row.key, None)).collect();
        self.0.commit(&TxnRequest { checks, writes }).await?;
        Ok(old.len())
    }
}

fn bind_txn(
    open: &BTreeMap<&String, &DispatchTicket>,
    expires_ms: u64,
) -> Result<TxnRequest, PlatformError> {
    let mut txn = TxnRequest::default();
    for (key, ticket) in open {
        let row = KeyRow { ticket: DispatchTicket::clone(ticket), expires_ms };
        let value = to_value(row).context(RowSnafu { key: key.as_str() })?;
        txn.checks.push(check(key, 0));
        txn.writes.push(write(key, Some(value)));
    }
    Ok(txn)
}

fn check(key: &str, version: u64) -> RowCheck {
    RowCheck { table: KEY_TABLE.to_owned(), key: key.to_owned(), version }
}

fn write(key: &str, value: Option<serde_json::Value>) -> RowWrite {
    RowWrite { table: KEY_TABLE.to_owned(), key: key.to_owned(), value }
}
