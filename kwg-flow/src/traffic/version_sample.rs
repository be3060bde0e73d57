use kwg_decide::SampleKey;

/// Measurement of one answer, for the canary judge of a version move.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionSample {
    /// Pool, route and version.
    pub key: SampleKey,
    /// Whether the request failed at its target.
    pub failed: bool,
    /// Time at the target per token of expected work, in microseconds.
    pub micros_per_token: f64,
}
