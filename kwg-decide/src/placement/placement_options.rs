use std::time::Duration;

use kwg_model::ServiceTier;

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementOptions {
    /// How long a target that refused a connection gets no work, doubled with each refusal.
    pub refusal_pause: Duration,
    /// The longest such pause.
    pub longest_pause: Duration,
    /// Speed assumed of a target that has not answered yet, in tokens a second.
    pub initial_tokens_per_second: u64,
    /// Part of a pool's streams that each tier leaves free for the tiers above it, in percent.
    pub reserve_percent: [u64; ServiceTier::COUNT],
    /// Speed below which a target counts as a straggler, in percent of its pool's median.
    pub straggler_percent: f64,
    /// Answers after which a target's speed is known.
    pub speed_samples: u32,
    /// Extra expected time for a target in another region.
    pub cross_region_penalty: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            refusal_pause: Duration::from_millis(500),
            longest_pause: Duration::from_secs(8),
            initial_tokens_per_second: 400,
            reserve_percent: [0, 8, 16, 16, 16],
            straggler_percent: 50.0,
            speed_samples: 5,
            cross_region_penalty: Duration::from_millis(50),
        }
    }
}
