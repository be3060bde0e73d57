use http_types::{Method, StatusCode};
use kwg_http::CallClient;
use snafu::{ResultExt, ensure};

use crate::platform_error::{CallSnafu, DecodeSnafu, StatusSnafu};
use crate::{PlatformError, RowList, TxnRequest};

/// Reads rows and commits transactions of the table service.
#[derive(Debug, Clone)]
pub struct TableClient(CallClient);

/// Outcome of a transaction that the service replied to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TxnOutcome {
    /// All writes took effect.
    Committed,
    /// A check failed; nothing was written.
    Conflict,
}

impl TableClient {
    /// Creates a client of the table service that `client` calls.
    #[must_use]
    pub fn new(client: CallClient) -> Self {
        Self(client)
    }

    /// Reads all rows of a table in one consistent snapshot.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails, the status is not 200 or the reply does not decode.
    pub async fn rows(&self, table: &str) -> Result<RowList, PlatformError> {
        let path = format!("/v1/rows?table={table}");
        let request = self.0.request(Method::Get, &path).context(CallSnafu)?;
        let reply = self.0.call(request).await.context(CallSnafu)?;
        ensure!(reply.status == StatusCode::Ok, StatusSnafu { status: reply.status, path });
        serde_json::from_slice(&reply.body).context(DecodeSnafu { path })
    }

    /// Reads the rows of a table with the given keys in one consistent snapshot.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails, the status is not 200 or the reply does not decode.
    pub async fn rows_by_keys(
        &self,
        table: &str,
        keys: &[String],
    ) -> Result<RowList, PlatformError> {
        let path = format!("/v1/get?table={table}");
        let mut request = self.0.request(Method::Post, &path).context(CallSnafu)?;
        request.set_body(serde_json::to_vec(keys).context(DecodeSnafu { path: &path })?);
        let reply = self.0.call(request).await.context(CallSnafu)?;
        ensure!(reply.status == StatusCode::Ok, StatusSnafu { status: reply.status, path });
        serde_json::from_slice(&reply.body).context(DecodeSnafu { path })
    }

    /// Commits a transaction.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails or the status is neither 200 nor 409; the transaction
    /// may have taken effect.
    pub async fn commit(&self, txn: &TxnRequest) -> Result<TxnOutcome, PlatformError> {
        let path = "/v1/txn";
        let mut request = self.0.request(Method::Post, path).context(CallSnafu)?;
        request.set_body(serde_json::to_vec(txn).context(DecodeSnafu { path })?);
        let status = self.0.call(request).await.context(CallSnafu)?.status;
        match status {
            StatusCode::Ok => Ok(TxnOutcome::Committed),
            StatusCode::Conflict => Ok(TxnOutcome::Conflict),
            status => StatusSnafu { status, path }.fail(),
        }
    }
}
