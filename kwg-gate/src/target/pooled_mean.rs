use super::learned_mean::LearnedMean;

/// Sum of the means of several instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct PooledMean {
    sum: f64,
    weight: f64,
}

impl PooledMean {
    pub(crate) fn new(own: LearnedMean) -> Self {
        Self { sum: own.mean() * own.weight(), weight: own.weight() }
    }

    /// Adds a mean of so many samples, of whose weight a `remainder` is left.
    pub(crate) fn add(&mut self, mean: f64, samples: u8, remainder: f64) {
        let weight = f64::from(samples) * remainder;
        self.sum += mean * weight;
        self.weight += weight;
    }

    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// The mean, in which `prior` counts as one sample.
    pub(crate) fn mean(self, prior: f64) -> f64 {
        (self.sum + prior) / (self.weight + 1.0)
    }
}
