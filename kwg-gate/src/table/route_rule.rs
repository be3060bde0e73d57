use std::time::Duration;

use crate::{RegionBound, RequestKind, ServiceName};

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host to match, in lower case.
    pub host: String,
    /// Path prefix to match, which begins and ends with a slash.
    pub prefix: String,
    /// Kind of its requests, which decides whether they may be retried.
    pub kind: RequestKind,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Target time to the first event of a stream, or to the complete answer; later ones count as
    /// late.
    pub target_latency: Duration,
    /// Maximum pause between events of a stream; a stream with a longer one counts as late.
    pub gap_target: Option<Duration>,
    /// Rank of its requests; 0 is the most urgent.
    pub rank: u32,
    /// The services that serve it, with their weights.
    pub pools: Vec<RoutePool>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u8,
    /// Whether it accepts requests without a key.
    pub allows_anonymous: bool,
    /// Regions in which its requests may run.
    pub regions: RegionBound,
}

/// A service's share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePool {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the route's other services.
    pub weight: u32,
}

/// Number of distinct route ranks, and the highest account rank; higher ranks count as the highest.
const RANKS: u32 = 1_000;

impl RouteRule {
    /// Rank of a request in the wait queue; 0 is served first. The account's rank takes precedence
    /// over the route's; an account without a rank, or no account, counts as rank 0. Among equal
    /// ranks, requests that can still be on time go first.
    pub(crate) fn wait_rank(&self, account: Option<u32>, is_late: bool) -> u32 {
        let rank = account.unwrap_or(0).min(RANKS) * RANKS + self.rank.min(RANKS - 1);
        rank * 2 + u32::from(is_late)
    }

    /// The rank of a request that is not late, from that of a request which may be.
    pub(crate) fn on_time_rank(rank: u32) -> u32 {
        rank - rank % 2
    }

    /// Selects a service by weight; `draw` is a random number in [0, 1). `None` if the route has no
    /// services.
    #[must_use]
    pub fn service_for(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.pools.iter().map(|pool| pool.weight).sum();
        let mut left = draw.clamp(0.0, 0.999_999) * f64::from(total);
        let chosen = self.pools.iter().find(|pool| {
            left -= f64::from(pool.weight);
            left < 0.0
        });
        chosen.or(self.pools.first()).map(|pool| &pool.service)
    }
}
