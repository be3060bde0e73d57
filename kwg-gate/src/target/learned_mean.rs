/// Maximum weight of the past, in samples: high enough to even out single requests, low enough to
/// follow a target that turns slow within a second or two of traffic.
const MAX_WEIGHT: f64 = 20.0;

/// Exponentially weighted mean of samples, which can be combined with the means of other instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LearnedMean {
    mean: f64,
    /// Number of samples in the mean, up to `MAX_WEIGHT`.
    weight: f64,
}

impl LearnedMean {
    pub(crate) fn new(mean: f64, weight: f64) -> Self {
        Self { mean, weight: weight.clamp(0.0, MAX_WEIGHT) }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.mean += (sample - self.mean) / self.weight;
    }

    pub(crate) fn mean(self) -> f64 {
        self.mean
    }

    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// Weighted mean of several means and `prior`, which counts as one sample.
    pub(crate) fn combine(means: impl Iterator<Item = Self>, prior: f64) -> f64 {
        let (mut sum, mut weight) = (prior, 1.0);
        for mean in means {
            sum += mean.mean * mean.weight;
            weight += mean.weight;
        }
        sum / weight
    }
}
