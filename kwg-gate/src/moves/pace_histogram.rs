use serde::{Deserialize, Serialize};

/// Number of buckets.
const BUCKETS: usize = 32;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 0.5;
/// Buckets in which the bound doubles.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Counts of answers by their [`pace`](crate::AttemptSample::pace_ms), in logarithmic buckets. The
/// histograms of all instances add up, so that quantiles come from the answers of the whole fleet.
///
/// ```
/// use kwg_gate::PaceHistogram;
///
/// let mut histogram = PaceHistogram::default();
/// (1..=100).for_each(|pace| histogram.record(f64::from(pace)));
/// let bucket = histogram.quantile_bucket(0.9);
/// assert!((1..=10).contains(&histogram.count_above(bucket)));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceHistogram {
    counts: [u32; BUCKETS],
}

impl PaceHistogram {
    /// Counts an answer of this pace, in milliseconds. Paces beyond either end count in the first or
    /// the last bucket.
    pub fn record(&mut self, pace_ms: f64) {
        let octaves = (pace_ms / FIRST_BOUND_MS).max(1.0).log2();
        let bucket = ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1);
        self.counts[bucket] += 1;
    }

    /// Number of answers.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.counts.iter().fold(0, |sum: u32, count| sum.saturating_add(*count))
    }

    /// The first bucket up to which at least the part `quantile` of all answers was counted.
    #[must_use]
    pub fn quantile_bucket(&self, quantile: f64) -> usize {
        let wanted = quantile * f64::from(self.total());
        let mut counted = 0.0;
        let reaches = |count: &u32| {
            counted += f64::from(*count);
            counted >= wanted
        };
        self.counts.iter().position(reaches).unwrap_or(BUCKETS - 1)
    }

    /// The bucket whose bound is `factor` times that of `bucket`, to the nearest bucket.
    pub(super) fn bucket_times(bucket: usize, factor: f64) -> usize {
        bucket + (factor.max(1.0).log2() * BUCKETS_PER_OCTAVE).round() as usize
    }

    /// Number of answers in higher buckets than this one.
    #[must_use]
    pub fn count_above(&self, bucket: usize) -> u32 {
        let above = self.counts.iter().skip(bucket + 1);
        above.fold(0, |sum: u32, count| sum.saturating_add(*count))
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        let counts = self.counts.iter_mut().zip(other.counts);
        counts.for_each(|(own, other)| *own = own.saturating_add(other));
    }

    /// Raises the counts to those of another histogram where these are higher.
    pub(super) fn raise(&mut self, other: &Self) {
        let counts = self.counts.iter_mut().zip(other.counts);
        counts.for_each(|(own, other)| *own = (*own).max(other));
    }

    /// Removes the counts of a histogram that this one includes.
    pub fn subtract(&mut self, part: &Self) {
        let counts = self.counts.iter_mut().zip(part.counts);
        counts.for_each(|(own, part)| *own = own.saturating_sub(part));
    }
}
