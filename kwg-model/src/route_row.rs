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
    /// The tier of requests that do not name one.
    pub tier: ServiceTier,
    /// How long a request waits for the first byte of its answer, unless the caller sets a shorter
    /// deadline.
    pub deadline_ms: u64,
}

impl RouteRow {
    /// Returns the default deadline for the first byte of an answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
