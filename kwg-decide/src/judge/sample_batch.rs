use kwg_model::{PoolName, RouteName, VersionName};
use serde::{Deserialize, Serialize};

/// What samples are about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SampleKey {
    /// The pool.
    pub pool: PoolName,
    /// The route.
    pub route: RouteName,
    /// The version that answered.
    pub version: VersionName,
}

/// Answers of one version on one route, counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SampleBatch {
    /// Answers, failed ones among them.
    pub count: u64,
    /// Answers that failed.
    pub failures: u64,
    /// Whole answers that were slow by the old version's measure.
    pub slow: u64,
    /// Whole answers for which that measure was known.
    pub timed: u64,
}

impl SampleBatch {
    /// Adds other samples.
    pub fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.failures += other.failures;
        self.slow += other.slow;
        self.timed += other.timed;
    }
}
