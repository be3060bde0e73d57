use kwg_model::MonoTime;

/// What is known of a request when it has been read.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts {
    /// Its id, which the caller chose for this attempt.
    pub id: String,
    /// The host that it is for.
    pub host: String,
    /// Its path, without a query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// The size of its prompt and answer, where it states them.
    pub tokens: Option<TokenCount>,
    /// When its first byte came.
    pub arrived: MonoTime,
    /// When its caller stops waiting.
    pub deadline: MonoTime,
    /// A digest of caller, path and body.
    pub fingerprint: u64,
}

/// The size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
}
