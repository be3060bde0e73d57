/// Size and settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of routers, spread over three failure domains in two regions.
    pub routers: usize,
    /// Number of traffic threads of each router.
    pub threads: usize,
    /// Number of engines.
    pub engines: usize,
    /// Duration of an engine's decoding step, in milliseconds.
    pub step_ms: u64,
    /// Limit of the work in flight at each engine, in tokens.
    pub limit_tokens: u64,
    /// Duration of a call of the plain service, in milliseconds.
    pub service_ms: u64,
    /// How long a router still accepts requests after SIGTERM, in milliseconds.
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
