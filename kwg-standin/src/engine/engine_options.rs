use std::time::Duration;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the engine in its log.
    pub name: String,
    /// The only version that is loaded at the start.
    pub version: String,
    /// Duration of a decoding step without running streams.
    pub step: Duration,
    /// Extra duration of a step for each running stream.
    pub step_per_stream: Duration,
    /// Prompt tokens prefilled per second.
    pub prefill_per_second: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache_prefixes: usize,
    /// Age of the load reports.
    pub report_lag: Duration,
    /// Whether orders with a fencing number below the highest seen are refused.
    pub heeds_fencing: bool,
    /// How long an ended stream can still be resumed.
    pub stream_retention: Duration,
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
            stream_retention: Duration::from_secs(120),
        }
    }
}
