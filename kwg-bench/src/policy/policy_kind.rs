/// Policy that decides where and when a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The scheduler under test (`kwg_flow::TrafficCore`): tiers, limits, shedding, and
    /// placement by expected finish time.
    Product,
    /// Baseline that dispatches at once, to the targets in turn.
    RoundRobin,
    /// Baseline that dispatches at once, to the target with the lowest reported load.
    LeastReported,
    /// Baseline that dispatches at once, to the one of two random targets with the lower reported
    /// load.
    TwoChoices,
}

impl PolicyKind {
    /// Every policy.
    pub const ALL: [Self; 4] =
        [Self::Product, Self::RoundRobin, Self::LeastReported, Self::TwoChoices];
}
