/// One request that a caller makes.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The route.
    pub route: String,
    /// The body.
    pub body: Vec<u8>,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// How long the caller waits for the first byte, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether a second run would do harm.
    pub non_idempotent: bool,
    /// Whether the answer comes from an engine, which the caller can check token by token.
    pub is_engine: bool,
}
