use std::fmt;

use hdrhistogram::Histogram;

/// How the requests of trials ended under one policy at one load.
#[derive(Debug, Clone)]
pub struct PolicyTally {
    /// Requests by tier.
    pub offered: [u64; 5],
    /// Requests whose first token came in time and whose tokens came fast enough, by tier.
    pub good: [u64; 5],
    /// Requests shed or expired, by tier.
    pub shed: [u64; 5],
    /// Requests shed for lack of room while a lower tier waited in the same router.
    pub inversions: u64,
    /// Prompt tokens prefilled.
    pub prefill: u64,
    /// Prompt tokens prefilled for requests that were not served well.
    pub wasted: u64,
    /// Time to the first token of what was admitted, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between tokens of what was admitted, in microseconds.
    pub between: Histogram<u64>,
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
            first_token: Histogram::new(3).expect("three digits are valid"),
            between: Histogram::new(3).expect("three digits are valid"),
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
        self.between.add(&other.between).expect("the same range");
    }

    /// The goodput of a tier, between 0 and 1.
    #[must_use]
    pub fn goodput(&self, tier: usize) -> f64 {
        self.good[tier] as f64 / self.offered[tier].max(1) as f64
    }

    /// The share of prefill that was wasted, between 0 and 1.
    #[must_use]
    pub fn wasted_share(&self) -> f64 {
        self.wasted as f64 / self.prefill.max(1) as f64
    }
}

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
            self.between.value_at_quantile(0.95) as f64 / 1_000.0,
        )
    }
}
