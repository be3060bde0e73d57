use crate::{ColdOptions, DomainMap, MoveOptions, QuotaOptions, RetryBudgetOptions};

/// Settings of the gateway's decisions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GateOptions {
    /// Failure domain of this instance and the regions of all domains.
    pub domains: DomainMap,
    /// Retry budget of all instances together.
    pub retry: RetryBudgetOptions,
    /// How far all instances together may exceed the quotas.
    pub quota: QuotaOptions,
    /// How many requests new versions may get before they are proved.
    pub moves: MoveOptions,
    /// How far the rate of cold targets may be exceeded.
    pub cold: ColdOptions,
}
