use std::time::Duration;

use kwg_model::ServiceTier;

/// Options of target selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementOptions {
    /// Pause without new work after a target refuses a connection; doubles with each refusal.
    pub refusal_pause: Duration,
    /// Maximum length of that pause.
    pub longest_pause: Duration,
    /// Assumed speed of a target that has not answered yet, in tokens per second.
    pub initial_tokens_per_second: u64,
    /// Share of a pool's streams that each tier leaves free for higher tiers, in percent.
    pub reserve_percent: [u64; ServiceTier::COUNT],
    /// Speed below which a target is a straggler, in percent of its pool's median speed.
    pub straggler_percent: f64,
    /// Number of answers after which a target's measured speed is used to detect stragglers.
    pub speed_samples: u32,
    /// Expected time added for a target in another region.
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
