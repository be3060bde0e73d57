use std::time::Duration;

/// Timing of the lease. Every router of a fleet must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseOptions {
    /// How long the row must stay unchanged before another router may acquire the lease.
    pub period: Duration,
    /// How long before the end of `period` the holder stops using the lease, to allow for clock
    /// rate differences.
    pub margin: Duration,
    /// How often the holder renews the lease.
    pub renewal: Duration,
    /// Upper bound on the duration of an order to a target. The holder issues no order when
    /// less time than this is left on the lease.
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
