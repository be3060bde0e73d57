/// Estimates a quantile of a stream of positive values in constant memory.
///
/// ```
/// use kwg_decide::QuantileTracker;
///
/// let mut tracker = QuantileTracker::new(0.9);
/// (0..20_000).for_each(|n| tracker.add(f64::from(n * 37 % 100) + 1.0));
/// let value = tracker.value().expect("values were added");
/// assert!((80.0..100.0).contains(&value), "{value}");
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct QuantileTracker {
    quantile: f64,
    log_value: Option<f64>,
    count: u64,
}

/// Lower bound of the step size, on a natural-log scale.
const MIN_STEP: f64 = 0.02;
/// Step size at the first value, on a natural-log scale; later ones are this divided by the square
/// root of the count. The estimate moves up by `quantile` times the step size, or down by
/// `1 - quantile` times it.
const FIRST_STEP: f64 = 0.5;

impl QuantileTracker {
    /// Creates a tracker of this quantile, between 0 and 1.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self { quantile, log_value: None, count: 0 }
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        let log = value.max(f64::MIN_POSITIVE).ln();
        self.count += 1;
        let step = (FIRST_STEP / (self.count as f64).sqrt()).max(MIN_STEP);
        let current = self.log_value.get_or_insert(log);
        if log > *current {
            *current += step * self.quantile;
        } else {
            *current -= step * (1.0 - self.quantile);
        }
    }

    /// Returns the estimate, or `None` before the first value.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.log_value.map(f64::exp)
    }

    /// Returns the number of values added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }
}
