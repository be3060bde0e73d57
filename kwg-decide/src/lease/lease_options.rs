use std::time::Duration;

/// Times of a lease. Every router of a fleet has the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseOptions {
    /// How long the row must stand unchanged before somebody else may take the lease.
    pub period: Duration,
    /// How much earlier its holder stops, for clocks that run at unequal speed.
    pub margin: Duration,
    /// How often the holder renews it.
    pub renewal: Duration,
    /// The longest that an order to a target takes. Nobody gives one with less time left.
    pub longest_order: Duration,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(8),
            margin: Duration::from_millis(500),
            renewal: Duration::from_secs(2),
            longest_order: Duration::from_secs(2),
        }
    }
}
