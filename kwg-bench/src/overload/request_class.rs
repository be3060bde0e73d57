use std::time::Duration;

/// A kind of request: its size, urgency and worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestClass {
    /// Name, also of its route.
    pub name: &'static str,
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// Mean number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: f64,
    /// Mean number of tokens of the answer; 0 for a plain service.
    pub output_tokens: f64,
    /// Mean work of a plain service, in milliseconds; 0 for an engine.
    pub work_ms: f64,
    /// Time to the first event, or to the answer, within which it is on time.
    pub target_latency: Duration,
    /// Time after which the caller leaves.
    pub patience: Duration,
    /// Requests a second for each target of its service at load 1.
    pub rate_per_target: f64,
    /// Worth of an answer on time.
    pub worth: f64,
    /// Worth of a late answer.
    pub late_worth: f64,
}

impl RequestClass {
    /// Three kinds of generations and one plain call, as the operators run them.
    pub const ALL: [Self; 4] = [
        Self {
            name: "draft",
            rank: 0,
            prompt_tokens: 6_610.0,
            output_tokens: 378.0,
            work_ms: 0.0,
            target_latency: Duration::from_millis(800),
            patience: Duration::from_secs(10),
            rate_per_target: 1.64,
            worth: 7.3,
            late_worth: 2.2,
        },
        Self {
            name: "digest",
            rank: 1,
            prompt_tokens: 628.0,
            output_tokens: 288.0,
            work_ms: 0.0,
            target_latency: Duration::from_millis(400),
            patience: Duration::from_secs(8),
            rate_per_target: 2.05,
            worth: 2.3,
            late_worth: 0.69,
        },
        Self {
            name: "label",
            rank: 2,
            prompt_tokens: 1_800.0,
            output_tokens: 36.0,
            work_ms: 0.0,
            target_latency: Duration::from_millis(500),
            patience: Duration::from_millis(2_500),
            rate_per_target: 3.47,
            worth: 0.27,
            late_worth: 0.08,
        },
        Self {
            name: "open",
            rank: 2,
            prompt_tokens: 0.0,
            output_tokens: 0.0,
            work_ms: 60.0,
            target_latency: Duration::from_millis(300),
            patience: Duration::from_secs(5),
            rate_per_target: 46.5,
            worth: 0.3,
            late_worth: 0.09,
        },
    ];

    /// Whether engines serve it.
    #[must_use]
    pub fn is_generation(&self) -> bool {
        self.prompt_tokens > 0.0
    }

    /// The service that serves it.
    #[must_use]
    pub fn service(&self) -> &'static str {
        if self.is_generation() { "llm" } else { "app" }
    }
}
