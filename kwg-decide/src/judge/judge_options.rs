/// Tolerances and error probabilities of the canary judge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JudgeOptions {
    /// Maximum probability that a good version is found bad during a whole move.
    pub false_alarm: f64,
    /// Number of sample batches of one move up to which `false_alarm` holds.
    pub batches: f64,
    /// Increase in failure rate over the old version that is tolerated in a good version.
    pub failure_tolerance: f64,
    /// Increase in failure rate that must be ruled out before a version is found good.
    pub failure_harm: f64,
    /// Quantile of the old version's latency above which an answer counts as slow.
    pub slow_quantile: f64,
    /// Increase in the rate of slow answers that is tolerated in a good version.
    pub slow_tolerance: f64,
    /// Increase in the rate of slow answers that must be ruled out before a version is found
    /// good.
    pub slow_harm: f64,
    /// Maximum probability that a harmful version is found good.
    pub false_acceptance: f64,
    /// Number of samples of the old version that a route needs before it is judged; the tests over
    /// all routes need as many in total.
    pub warm_up: u64,
}

impl Default for JudgeOptions {
    fn default() -> Self {
        Self {
            false_alarm: 0.005,
            batches: 10_000.0,
            failure_tolerance: 0.01,
            failure_harm: 0.1,
            slow_quantile: 0.9,
            slow_tolerance: 0.08,
            slow_harm: 0.35,
            false_acceptance: 0.02,
            warm_up: 50,
        }
    }
}
