/// Follows a quantile of a stream of positive values with constant memory.
///
/// ```
/// use kwg_decide::QuantileTracker;
///
/// let mut tracker = QuantileTracker::new(0.9);
/// (0..20_000).for_each(|n| tracker.add(f64::from(n * 37 % 100) + 1.0));
/// let value = tracker.value().expect("values came");
/// assert!((80.0..100.0).contains(&value), "{value}");
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct QuantileTracker {
    quantile: f64,
    log_value: Option<f64>,
    count: u64,
}

/// How far one value moves the estimate, on a logarithmic scale, once it has settled.
const STEP: f64 = 0.02;
/// How far it moves at first.
const FIRST_STEP: f64 = 0.5;

impl QuantileTracker {
    /// A tracker of this quantile, between 0 and 1.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self { quantile, log_value: None, count: 0 }
    }

    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        let log = value.max(f64::MIN_POSITIVE).ln();
        self.count += 1;
        let step = (FIRST_STEP / (self.count as f64).sqrt()).max(STEP);
        let current = self.log_value.get_or_insert(log);
        if log > *current {
            *current += step * self.quantile;
        } else {
            *current -= step * (1.0 - self.quantile);
        }
    }

    /// The estimate, once a value has come.
    #[must_use]
    pub fn value(&self) -> Option<f64> {
        self.log_value.map(f64::exp)
    }

    /// How many values have come.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }
}
