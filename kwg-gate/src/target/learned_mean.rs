use std::time::Duration;

use kwg_model::MonoTime;

/// Maximum weight of the past, in samples: high enough to even out single requests, low enough to
/// follow a target that turns slow within a second or two of traffic.
const MAX_WEIGHT: f64 = 20.0;
/// Weight below which a mean is forgotten.
const MIN_WEIGHT: f64 = 0.5;

/// Exponentially weighted mean of samples, which can be combined with the means of other instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LearnedMean {
    mean: f64,
    /// Number of samples in the mean, up to `MAX_WEIGHT`.
    weight: f64,
    /// Until when the weight has been faded.
    faded: MonoTime,
    /// Time in which the weight halves.
    half_life: Duration,
}

impl LearnedMean {
    /// A mean without samples.
    pub(crate) const fn empty(half_life: Duration) -> Self {
        Self { mean: 0.0, weight: 0.0, faded: MonoTime::ZERO, half_life }
    }

    pub(crate) fn add(&mut self, sample: f64, now: MonoTime) {
        self.weight = (self.weight * self.remainder(now.since(self.faded)) + 1.0).min(MAX_WEIGHT);
        self.faded = now;
        self.mean += (sample - self.mean) / self.weight;
    }

    /// Fades the weight in steps of whole half-lives, so that a mean without new samples changes few reports.
    pub(crate) fn fade(&mut self, now: MonoTime) {
        let steps = now.since(self.faded).as_millis() / self.half_life.as_millis().max(1);
        let Ok(steps) = u32::try_from(steps) else { return };
        self.faded = self.faded + self.half_life * steps;
        self.weight *= 0.5_f64.powi(i32::try_from(steps).unwrap_or(i32::MAX));
        if self.weight < MIN_WEIGHT {
            self.weight = 0.0;
        }
    }

    pub(crate) fn mean(self) -> f64 {
        self.mean
    }

    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// The part of the weight that is left after a time.
    pub(crate) fn remainder(self, age: Duration) -> f64 {
        let exponent = std::f64::consts::LN_2 * age.as_secs_f64() / self.half_life.as_secs_f64();
        // The first terms of the series of e^x: near enough for a weight, and quick, since it is computed for each
        // report of each target.
        1.0 / (1.0 + exponent * (1.0 + exponent / 2.0 * (1.0 + exponent / 3.0)))
    }
}
