use serde::{Deserialize, Serialize};

/// The terms of the cost of sending a request to a target, in units of the value of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CostTerms {
    /// The expected time to the first event or the answer, in relation to its target, squared.
    pub latency: f64,
    /// An end after the deadline.
    pub overrun: f64,
    /// Streams that are late by a pause, the request's own among them.
    pub pause: f64,
    /// Crossing into another failure domain or region.
    pub crossing: f64,
    /// A new connection.
    pub connecting: f64,
    /// A slot that another instance owns.
    pub borrowing: f64,
    /// A full batch.
    pub batch: f64,
    /// Failures of the target.
    pub failure: f64,
}

impl CostTerms {
    /// The sum of the terms.
    ///
    /// ```
    /// use kwg_gate::CostTerms;
    ///
    /// let terms = CostTerms { latency: 0.5, batch: 0.25, ..CostTerms::default() };
    /// assert_eq!(terms.total(), 0.75);
    /// ```
    #[must_use]
    pub fn total(&self) -> f64 {
        self.latency
            + self.overrun
            + self.pause
            + self.crossing
            + self.connecting
            + self.borrowing
            + self.batch
            + self.failure
    }
}
