use std::time::Duration;

/// How long the targets of a service are cold after their start, and how many requests they tolerate then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Time for which a target is cold if its entry does not say.
    pub start: Duration,
    /// Requests a second that a cold target tolerates from all instances together.
    pub per_s: f64,
}

impl ColdRule {
    /// The rule of a service; none if its cold targets tolerate any rate.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use kwg_gate::ColdRule;
    ///
    /// assert!(ColdRule::of(Duration::from_secs(8), 11.0).is_some());
    /// assert_eq!(ColdRule::of(Duration::from_secs(8), 0.0), None);
    /// ```
    #[must_use]
    pub fn of(start: Duration, per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s > 0.0).then_some(Self { start, per_s })
    }
}
