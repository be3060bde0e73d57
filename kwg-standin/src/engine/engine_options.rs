use std::time::Duration;

/// What kind of engine to stand in for.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The engine's name in its logs.
    pub name: String,
    /// The version that it serves at its start.
    pub version: String,
    /// Time of one decoding step with one stream.
    pub step: Duration,
    /// Extra time of a step for each further stream.
    pub step_per_stream: Duration,
    /// Prompt tokens that are prefilled in a second.
    pub prefill_per_second: u64,
    /// Prompt prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// How old load reports are.
    pub report_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub heeds_fencing: bool,
    /// How long ended streams can be resumed.
    pub keep_streams: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            version: "v1".to_owned(),
            step: Duration::from_millis(10),
            step_per_stream: Duration::from_micros(100),
            prefill_per_second: 20_000,
            cache_prefixes: 32,
            report_lag: Duration::from_millis(500),
            heeds_fencing: true,
            keep_streams: Duration::from_secs(120),
        }
    }
}
