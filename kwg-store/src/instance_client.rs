use http_types::{Method, StatusCode};
use kwg_http::CallClient;
use kwg_model::InstanceRow;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::PlatformError;
use crate::platform_error::{CallSnafu, DecodeSnafu, StatusSnafu};

/// Reads the platform's instance list.
#[derive(Debug, Clone)]
pub struct InstanceClient(CallClient);

/// The instance list at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The version, which grows with every change of the list.
    pub version: u64,
    /// The instances.
    pub rows: Vec<InstanceRow>,
}

impl InstanceClient {
    /// Creates a client of the list that `client` calls.
    #[must_use]
    pub fn new(client: CallClient) -> Self {
        Self(client)
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`PlatformError`] without a complete reply.
    pub async fn read(&self) -> Result<InstanceList, PlatformError> {
        let path = "/v1/instances";
        let request = self.0.request(Method::Get, path).context(CallSnafu)?;
        let reply = self.0.call(request).await.context(CallSnafu)?;
        ensure!(reply.status == StatusCode::Ok, StatusSnafu { status: reply.status, path });
        serde_json::from_slice(&reply.body).context(DecodeSnafu { path })
    }
}
