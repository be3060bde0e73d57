use kwg_decide::{LeaseRow, LeaseWrite};
use serde_json::{from_value, to_value};
use snafu::ResultExt;

use crate::platform_error::RowSnafu;
use crate::{PlatformError, RowCheck, RowWrite, TableClient, TxnOutcome, TxnRequest};

/// Table of the lease, whose holder runs the version moves.
const LEASE_TABLE: &str = "lease";
/// Row of the lease.
const LEASE_KEY: &str = "moves";

/// Reads and writes the lease row in the table service.
#[derive(Debug, Clone)]
pub struct LeaseStore(TableClient);

impl LeaseStore {
    /// Creates a store on a client of the table service.
    #[must_use]
    pub fn new(client: TableClient) -> Self {
        Self(client)
    }

    /// Reads the row, or returns `None` if it does not exist yet.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails, the status is not 200, or the reply or the row does not
    /// decode.
    pub async fn read(&self) -> Result<Option<LeaseRow>, PlatformError> {
        Ok(self.read_versioned().await?.map(|(_, row)| row))
    }

    /// Writes the row if its current value is the expected one, and returns whether it was written.
    ///
    /// # Errors
    /// [`PlatformError`] if the row cannot be read, a row does not encode or decode, or the commit
    /// fails; after a failed commit the write may have taken effect.
    pub async fn write(&self, write: &LeaseWrite) -> Result<bool, PlatformError> {
        let found = self.read_versioned().await?;
        let (version, row) = found.map_or((0, None), |(version, row)| (version, Some(row)));
        if row != write.expected {
            return Ok(false);
        }
        let (table, key) = (LEASE_TABLE.to_owned(), LEASE_KEY.to_owned());
        let value = to_value(&write.row).context(RowSnafu { key: LEASE_KEY })?;
        let check = RowCheck { table: table.clone(), key: key.clone(), version };
        let writes = vec![RowWrite { table, key, value: Some(value) }];
        let txn = TxnRequest { checks: vec![check], writes };
        Ok(self.0.commit(&txn).await? == TxnOutcome::Committed)
    }

    async fn read_versioned(&self) -> Result<Option<(u64, LeaseRow)>, PlatformError> {
        let rows = self.0.rows(LEASE_TABLE).await?.rows;
        let Some(row) = rows.into_iter().find(|row| row.key == LEASE_KEY) else { return Ok(None) };
        let lease = from_value(row.value).context(RowSnafu { key: LEASE_KEY })?;
        Ok(Some((row.version, lease)))
    }
}
