use std::time::Duration;

use kwg_model::MonoTime;

use crate::LoadGauge;

/// Weight of the newest sample in the moving average of a target's speed.
const SPEED_WEIGHT: f64 = 0.2;

/// Load, measured speed and refusals of one target, from this core's own traffic.
#[derive(Debug, Clone)]
pub struct TargetHealth {
    pub(super) gauge: LoadGauge,
    pub(super) tokens_per_second: f64,
    pub(super) paused_until: MonoTime,
    pub(super) samples: u32,
    /// Number of refused connections since the last answer.
    pub(super) refusals: u32,
}

impl TargetHealth {
    pub(super) fn new(tokens_per_second: u64) -> Self {
        Self {
            gauge: LoadGauge::default(),
            tokens_per_second: tokens_per_second as f64,
            paused_until: MonoTime::ZERO,
            samples: 0,
            refusals: 0,
        }
    }

    /// Updates the average speed with an answer of `tokens` tokens that took `span`.
    pub(super) fn observe(&mut self, tokens: u64, span: Duration) {
        let seconds = span.as_secs_f64().max(0.001);
        let sample = tokens as f64 / seconds;
        if self.samples == 0 {
            self.tokens_per_second = sample;
        }
        self.samples = self.samples.saturating_add(1);
        self.refusals = 0;
        self.tokens_per_second += SPEED_WEIGHT * (sample - self.tokens_per_second);
    }

    /// Returns the expected time to finish the work in flight and `cost_tokens` more, in seconds.
    pub(super) fn expected_seconds(&self, cost_tokens: u64) -> f64 {
        (self.gauge.tokens() + cost_tokens) as f64 / self.tokens_per_second.max(1.0)
    }
}
