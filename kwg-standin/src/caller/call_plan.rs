/// The request that a caller is to make.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Name of the route.
    pub route: String,
    /// Request body.
    pub body: Vec<u8>,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// How long the caller waits for the first byte, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// Whether an engine answers with `max_tokens` tokens; a plain service's answer has a fixed
    /// length.
    pub is_engine: bool,
}
