use std::fmt;

use hdrhistogram::Histogram;

/// Results of the requests of trials under one policy at one load.
#[derive(Debug, Clone)]
pub struct PolicyTally {
    /// Requests that arrived, by tier.
    pub offered: [u64; 5],
    /// Requests whose first token came in time and whose token interval stayed within the limit,
    /// by tier.
    pub good: [u64; 5],
    /// Requests that were accepted and then failed, by tier.
    pub shed: [u64; 5],
    /// Priority inversions: requests shed for lack of capacity while a lower tier waited in the
    /// same router.
    pub inversions: u64,
    /// Prompt tokens of dispatched requests.
    pub prefill: u64,
    /// Prompt tokens of dispatched requests that did not count as good.
    pub wasted: u64,
    /// Time to first token of completed requests, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Mean token interval of completed requests, in microseconds.
    pub token_interval: Histogram<u64>,
}

impl Default for PolicyTally {
    fn default() -> Self {
        Self {
            offered: [0; 5],
            good: [0; 5],
            shed: [0; 5],
            inversions: 0,
            prefill: 0,
            wasted: 0,
            first_token: Histogram::new(3).expect("three significant digits are valid"),
            token_interval: Histogram::new(3).expect("three significant digits are valid"),
        }
    }
}

impl PolicyTally {
    /// Adds the tally of another trial.
    pub fn add(&mut self, other: &Self) {
        for tier in 0..self.offered.len() {
            self.offered[tier] += other.offered[tier];
            self.good[tier] += other.good[tier];
            self.shed[tier] += other.shed[tier];
        }
        self.inversions += other.inversions;
        self.prefill += other.prefill;
        self.wasted += other.wasted;
        self.first_token.add(&other.first_token).expect("the same range");
        self.token_interval.add(&other.token_interval).expect("the same range");
    }

    /// Share of good requests among those offered in a tier, from 0 to 1.
    #[must_use]
    pub fn goodput(&self, tier: usize) -> f64 {
        self.good[tier] as f64 / self.offered[tier].max(1) as f64
    }

    /// `wasted` as a share of `prefill`, from 0 to 1.
    #[must_use]
    pub fn wasted_share(&self) -> f64 {
        self.wasted as f64 / self.prefill.max(1) as f64
    }
}

/// Formats the columns of a table row: the goodput of each tier in percent, the requests that
/// were accepted and then failed, the priority inversions, the wasted prefill in percent, and the
/// 95th percentiles of the time to first token and of the token interval, both in milliseconds.
impl fmt::Display for PolicyTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for tier in 0..self.offered.len() {
            write!(f, " {:.1} |", 100.0 * self.goodput(tier))?;
        }
        let shed: u64 = self.shed.iter().sum();
        write!(
            f,
            " {shed} | {} | {:.1} | {} | {:.1} |",
            self.inversions,
            100.0 * self.wasted_share(),
            self.first_token.value_at_quantile(0.95),
            self.token_interval.value_at_quantile(0.95) as f64 / 1_000.0,
        )
    }
}
