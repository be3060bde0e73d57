use std::time::Duration;

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementOptions {
    /// How long a target that refused a connection gets no work.
    pub refusal_pause: Duration,
    /// Speed assumed of a target that has not answered yet, in tokens a second.
    pub initial_tokens_per_second: u64,
    /// Extra expected time for a target in another region.
    pub cross_region_penalty: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            refusal_pause: Duration::from_millis(500),
            initial_tokens_per_second: 400,
            cross_region_penalty: Duration::from_millis(50),
        }
    }
}
