/// What counts as bad, and how sure the judge must be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JudgeOptions {
    /// Most false alarms for a good version over a whole move, as a probability.
    pub false_alarm: f64,
    /// Batches of samples that one move is expected to bring at the most.
    pub batches: f64,
    /// How much higher than the old version's a good version's failure rate may be.
    pub failure_tolerance: f64,
    /// The difference in failure rate that must be ruled out before a version is called good.
    pub failure_harm: f64,
    /// The quantile of the old version's latency above which an answer is slow.
    pub slow_quantile: f64,
    /// How much more often than the old version's a good version's answers may be slow.
    pub slow_tolerance: f64,
    /// The difference in slow answers that must be ruled out before a version is called good.
    pub slow_harm: f64,
    /// How often a wrong "good" may be said, as a probability.
    pub false_proof: f64,
    /// Samples of the old version on a route before that route is judged.
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
            false_proof: 0.02,
            warm_up: 50,
        }
    }
}
