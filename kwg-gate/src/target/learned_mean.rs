/// Samples that a mean remembers: enough to smooth single requests, few enough to follow a
/// target that has turned slow within a second or two of traffic.
const MEMORY_SAMPLES: f64 = 20.0;

/// A mean over the last samples, which can be combined with what others have learned.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LearnedMean {
    mean: f64,
    weight: f64,
}

impl LearnedMean {
    pub(crate) fn new(mean: f64, weight: f64) -> Self {
        Self { mean, weight: weight.clamp(0.0, MEMORY_SAMPLES) }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.weight = (self.weight + 1.0).min(MEMORY_SAMPLES);
        self.mean += (sample - self.mean) / self.weight;
    }

    pub(crate) fn mean(self) -> f64 {
        self.mean
    }

    pub(crate) fn weight(self) -> f64 {
        self.weight
    }

    /// The mean of several, or `prior` where nobody has learned anything.
    pub(crate) fn combine(means: impl Iterator<Item = Self>, prior: f64) -> f64 {
        let (mut sum, mut weight) = (prior, 1.0);
        for mean in means {
            sum += mean.mean * mean.weight;
            weight += mean.weight;
        }
        sum / weight
    }
}
