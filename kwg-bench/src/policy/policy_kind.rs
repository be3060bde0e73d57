/// Who decides where and when a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The product: tiers, limits, shedding, placement by expected finish.
    Product,
    /// A baseline: one target after the other, at once.
    RoundRobin,
    /// A baseline: the target whose last report shows the least load, at once.
    LeastReported,
    /// A baseline: the better of two random targets by their last reports, at once.
    TwoChoices,
}

impl PolicyKind {
    /// Every policy.
    pub const ALL: [Self; 4] =
        [Self::Product, Self::RoundRobin, Self::LeastReported, Self::TwoChoices];
}
