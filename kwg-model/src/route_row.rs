use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PoolName, RouteName, ServiceTier};

/// One row of the route table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRow {
    /// The name that callers use.
    pub name: RouteName,
    /// The pool that serves the route.
    pub pool: PoolName,
    /// The tier of requests that ask for none.
    pub tier: ServiceTier,
    /// How long a request waits for its first byte, unless its caller says less.
    pub deadline_ms: u64,
}

impl RouteRow {
    /// How long a request of this route waits for its first byte.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
