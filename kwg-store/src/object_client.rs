use http_types::{Method, StatusCode};
use kwg_http::{CallClient, HttpReply};
use snafu::{ResultExt, ensure};

use crate::PlatformError;
use crate::platform_error::{CallSnafu, DecodeSnafu, StatusSnafu};

/// Writes, reads and lists objects of the object store.
#[derive(Debug, Clone)]
pub struct ObjectClient(CallClient);

impl ObjectClient {
    /// Creates a client of the object store that `client` calls.
    #[must_use]
    pub fn new(client: CallClient) -> Self {
        Self(client)
    }

    /// Stores an object under a key, replacing any existing one.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails or the status is not 200; the object may have been
    /// stored.
    pub async fn put(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.call(Method::Put, &format!("/v1/objects/{key}"), Some(bytes)).await.map(drop)
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails or the status is not 200, as for a missing object.
    pub async fn get(&self, key: &str) -> Result<Vec<u8>, PlatformError> {
        Ok(self.call(Method::Get, &format!("/v1/objects/{key}"), None).await?.body)
    }

    /// Returns the keys that begin with `prefix`, in order.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails, the status is not 200 or the reply does not decode.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, PlatformError> {
        let path = format!("/v1/objects?prefix={prefix}");
        let reply = self.call(Method::Get, &path, None).await?;
        serde_json::from_slice(&reply.body).context(DecodeSnafu { path })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<HttpReply, PlatformError> {
        let mut request = self.0.request(method, path).context(CallSnafu)?;
        if let Some(body) = body {
            request.set_body(body);
        }
        let reply = self.0.call(request).await.context(CallSnafu)?;
        ensure!(reply.status == StatusCode::Ok, StatusSnafu { status: reply.status, path });
        Ok(reply)
    }
}
