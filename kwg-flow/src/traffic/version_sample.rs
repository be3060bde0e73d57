use kwg_decide::SampleKey;

/// One answer, as the judge of a version move wants to know it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionSample {
    /// The pool, route and version.
    pub key: SampleKey,
    /// Whether the answer failed at its target.
    pub failed: bool,
    /// Time at the target for each token of expected work, in microseconds.
    pub micros_per_token: f64,
}
