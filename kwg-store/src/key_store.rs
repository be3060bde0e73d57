use std::collections::BTreeMap;

use kwg_model::DispatchTicket;
use serde::{Deserialize, Serialize};
use serde_json::{from_value, to_value};
use snafu::ResultExt;

use crate::platform_error::RowSnafu;
use crate::{PlatformError, RowCheck, RowWrite, TableClient, TxnOutcome, TxnRequest};

/// Table that binds idempotency keys to tickets.
const KEY_TABLE: &str = "keys";
/// Maximum number of attempts to bind a batch before the error is returned.
const BIND_ATTEMPTS: u32 = 4;
/// Maximum number of rows removed by one sweep.
const SWEEP_ROWS: usize = 200;

/// Binds callers' idempotency keys to tickets, in batches.
///
/// The first binding of a key wins, and later requests for the key get that ticket. If the reply
/// to a write is lost, reading the keys shows whether it took effect.
#[derive(Debug, Clone)]
pub struct KeyStore(TableClient);

#[derive(Debug, Serialize, Deserialize)]
struct KeyRow {
    ticket: DispatchTicket,
    /// Milliseconds since the Unix epoch.
    expires_ms: u64,
}

impl KeyStore {
    /// Creates a store on a client of the table service.
    #[must_use]
    pub fn new(client: TableClient) -> Self {
        Self(client)
    }

    /// Binds each key to its ticket unless it is already bound, and returns the tickets that the
    /// keys are bound to.
    ///
    /// `expires_ms` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// [`PlatformError`] if every attempt fails or conflicts with another write, or a row does not
    /// encode or decode; any of the keys may be bound then.
    pub async fn bind(
        &self,
        batch: &BTreeMap<String, DispatchTicket>,
        expires_ms: u64,
    ) -> Result<BTreeMap<String, DispatchTicket>, PlatformError> {
        let keys: Vec<String> = batch.keys().cloned().collect();
        let mut bound = BTreeMap::new();
        let mut last_error = None;
        for _ in 0..BIND_ATTEMPTS {
            // Reading first shows what an earlier attempt at this batch has written.
            let rows = match self.0.rows_by_keys(KEY_TABLE, &keys).await {
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
            let unbound = batch.iter().filter(|(key, _)| !bound.contains_key(*key));
            let unbound: BTreeMap<&String, &DispatchTicket> = unbound.collect();
            if unbound.is_empty() {
                return Ok(bound);
            }
            match self.0.commit(&bind_txn(&unbound, expires_ms)?).await {
                Ok(TxnOutcome::Committed) => {
                    let new =
                        unbound.into_iter().map(|(key, ticket)| (key.clone(), ticket.clone()));
                    bound.extend(new.collect::<Vec<_>>());
                    return Ok(bound);
                }
                Ok(TxnOutcome::Conflict) => {}
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or(PlatformError::Contended { table: KEY_TABLE }))
    }

    /// Removes a batch of expired rows and returns the size of the batch. If one of the rows has
    /// changed meanwhile, none is removed.
    ///
    /// `now_ms` is in milliseconds since the Unix epoch.
    ///
    /// # Errors
    /// [`PlatformError`] if the table cannot be read or the commit fails; after a failed commit the
    /// rows may have been removed.
    pub async fn sweep(&self, now_ms: u64) -> Result<usize, PlatformError> {
        let rows = self.0.rows(KEY_TABLE).await?.rows;
        let is_expired = |row: &crate::TableRow| {
            from_value::<KeyRow>(row.value.clone()).is_ok_and(|value| value.expires_ms < now_ms)
        };
        let expired: Vec<crate::TableRow> =
            rows.into_iter().filter(is_expired).take(SWEEP_ROWS).collect();
        if expired.is_empty() {
            return Ok(0);
        }
        let checks = expired.iter().map(|row| check(&row.key, row.version)).collect();
        let writes = expired.iter().map(|row| write(&row.key, None)).collect();
        self.0.commit(&TxnRequest { checks, writes }).await?;
        Ok(expired.len())
    }
}

fn bind_txn(
    unbound: &BTreeMap<&String, &DispatchTicket>,
    expires_ms: u64,
) -> Result<TxnRequest, PlatformError> {
    let mut txn = TxnRequest::default();
    for (key, ticket) in unbound {
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
