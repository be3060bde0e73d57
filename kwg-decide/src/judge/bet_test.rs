/// Fractions of the largest bet that are played side by side: small ones find small
/// differences, large ones find gross ones soon.
const BET_FRACTIONS: [f64; 4] = [0.05, 0.15, 0.4, 0.8];
/// Where logarithms of wealth are cut off.
const LOG_WEALTH_MAX: f64 = 600.0;

/// A sequential test of "the rate of events is at most a bound".
///
/// It bets against that claim with a game that is fair or worse if the claim is true. Its
/// wealth then exceeds 1/a at any time with probability at most a (Ville's inequality), so it
/// may be looked at after every batch without adding false alarms.
///
/// ```
/// use kwg_decide::BetTest;
///
/// let mut test = BetTest::once();
/// test.add(0.01, 200, 0);
/// assert!(test.wealth() < 1.0, "no event, no evidence");
/// test.add(0.01, 20, 20);
/// assert!(test.wealth() > 1_000.0);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct BetTest {
    restarts: bool,
    log_wealths: [f64; BET_FRACTIONS.len()],
}

impl BetTest {
    /// A test that counts all its samples: it asks whether the claim was ever false.
    #[must_use]
    pub fn once() -> Self {
        Self { restarts: false, log_wealths: [0.0; BET_FRACTIONS.len()] }
    }

    /// A test that begins anew whenever it has lost, so that a change which comes after a long
    /// quiet time is found as soon as one at the start.
    ///
    /// Each batch is a chance to begin, so its wealth exceeds c/a within c batches with
    /// probability at most a.
    #[must_use]
    pub fn watching() -> Self {
        Self { restarts: true, ..Self::once() }
    }

    /// Adds `count` samples, `events` of which were events; the claim for them, known before
    /// they were drawn, is a rate of at most `bound`.
    pub fn add(&mut self, bound: f64, count: u64, events: u64) {
        let bound = bound.clamp(1e-6, 1.0 - 1e-6);
        let quiet = count.saturating_sub(events) as f64;
        for (log_wealth, fraction) in self.log_wealths.iter_mut().zip(BET_FRACTIONS) {
            if self.restarts {
                *log_wealth = log_wealth.max(0.0);
            }
            // The largest bet is the one that would lose everything on a quiet sample.
            let win = (fraction / bound * (1.0 - bound)).ln_1p();
            let loss = (-fraction).ln_1p();
            *log_wealth += win * events as f64 + loss * quiet;
        }
    }

    /// The evidence against the claim: the mean wealth over all bets.
    #[must_use]
    pub fn wealth(&self) -> f64 {
        let sum: f64 = self.log_wealths.iter().map(|log| log.min(LOG_WEALTH_MAX).exp()).sum();
        sum / self.log_wealths.len() as f64
    }
}
