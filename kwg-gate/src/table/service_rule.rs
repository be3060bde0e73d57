use crate::{ColdRule, ServiceName};

/// A service as configured by its operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one target accepts from all clients together.
    pub max_connections: u32,
    /// Properties of its engines, if it serves a model.
    pub engine: Option<EngineRule>,
    /// What its targets tolerate while they are cold; none if there is no limit.
    pub cold: Option<ColdRule>,
}

/// Properties of a batching engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRule {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
    /// Tokens per event of a stream.
    pub tokens_per_event: f64,
}
