use crate::ServiceName;

/// A service as its operators describe it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Most connections that one target accepts, from all callers together.
    pub max_connections: u32,
    /// What its engines are like, if it serves a model.
    pub engine: Option<EngineRule>,
}

/// A batching engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: f64,
}
