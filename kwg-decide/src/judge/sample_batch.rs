use kwg_model::{PoolName, RouteName, VersionName};
use serde::{Deserialize, Serialize};

/// Key under which samples are grouped.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SampleKey {
    /// The pool that answered.
    pub pool: PoolName,
    /// The route of the requests.
    pub route: RouteName,
    /// The version that answered.
    pub version: VersionName,
}

/// Counts of answers of one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SampleBatch {
    /// Number of answers, including failed ones.
    pub count: u64,
    /// Number of failed answers.
    pub failures: u64,
    /// Number of complete answers slower than the old version's latency quantile.
    pub slow: u64,
    /// Number of complete answers for which that quantile was known.
    pub timed: u64,
}

impl SampleBatch {
    /// Adds the counts of another batch.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.failures += other.failures;
        self.slow += other.slow;
        self.timed += other.timed;
    }
}
