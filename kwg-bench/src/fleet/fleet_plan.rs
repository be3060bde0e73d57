/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// How many routers, spread over three failure domains in two regions.
    pub routers: usize,
    /// Traffic threads of each router.
    pub threads: usize,
    /// How many engines.
    pub engines: usize,
    /// Time of one decoding step of an engine, in milliseconds.
    pub step_ms: u64,
    /// Most work in flight at each engine, in tokens.
    pub limit_tokens: u64,
    /// Time of one call of the plain service, in milliseconds.
    pub service_ms: u64,
    /// How long a router that is told to stop still serves, in milliseconds.
    pub drain_notice_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            routers: 4,
            threads: 2,
            engines: 3,
            step_ms: 10,
            limit_tokens: 40_000,
            service_ms: 100,
            drain_notice_ms: 500,
        }
    }
}
