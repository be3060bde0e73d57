/// Bets placed in parallel, as fractions of the largest possible bet: small ones detect small
/// differences, large ones detect large differences early.
const BET_FRACTIONS: [f64; 4] = [0.05, 0.15, 0.4, 0.8];
/// Upper bound of the logarithm of wealth, which keeps its exponential finite.
const LOG_WEALTH_MAX: f64 = 600.0;

/// A sequential test by betting of the null hypothesis "the event rate is at most a bound".
///
/// The test bets against the hypothesis. While the hypothesis is true, the wealth of a cumulative
/// test is a nonnegative supermartingale, which ever exceeds 1/a with probability at most a
/// (Ville's inequality). The wealth may therefore be checked after every batch without adding
/// false alarms. See [`Self::restarting`] for the other kind.
///
/// ```
/// use kwg_decide::BettingTest;
///
/// let mut test = BettingTest::cumulative();
/// test.add(0.01, 200, 0);
/// assert!(test.wealth() < 1.0, "without events there is no evidence");
/// test.add(0.01, 20, 20);
/// assert!(test.wealth() > 1_000.0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct BettingTest {
    restarts: bool,
    log_wealths: [f64; BET_FRACTIONS.len()],
}

impl BettingTest {
    /// Creates a test that accumulates evidence over all samples.
    #[must_use]
    pub fn cumulative() -> Self {
        Self { restarts: false, log_wealths: [0.0; BET_FRACTIONS.len()] }
    }

    /// Creates a test in which each bet restarts, at the next batch, if its wealth has fallen below
    /// the initial value: a change after a long time without events is detected as fast as one at
    /// the start.
    ///
    /// Each batch is a possible restart, so its wealth exceeds c/a within c batches with
    /// probability at most a.
    #[must_use]
    pub fn restarting() -> Self {
        Self { restarts: true, ..Self::cumulative() }
    }

    /// Adds `count` samples, `events` of which were events.
    ///
    /// The hypothesis for these samples is an event rate of at most `bound`, which must have been
    /// determined before they were drawn.
    pub fn add(&mut self, bound: f64, count: u64, events: u64) {
        let bound = bound.clamp(1e-6, 1.0 - 1e-6);
        let non_events = count.saturating_sub(events) as f64;
        for (log_wealth, fraction) in self.log_wealths.iter_mut().zip(BET_FRACTIONS) {
            if self.restarts {
                *log_wealth = log_wealth.max(0.0);
            }
            // The largest possible bet would lose all wealth on a sample without an event.
            let win = (fraction / bound * (1.0 - bound)).ln_1p();
            let loss = (-fraction).ln_1p();
            *log_wealth += win * events as f64 + loss * non_events;
        }
    }

    /// Returns the evidence against the hypothesis: the mean wealth over all bets.
    #[must_use]
    pub fn wealth(&self) -> f64 {
        let sum: f64 = self.log_wealths.iter().map(|log| log.min(LOG_WEALTH_MAX).exp()).sum();
        sum / self.log_wealths.len() as f64
    }
}
