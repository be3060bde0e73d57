use kwg_model::MonoTime;

/// Details of a request after its head and body have been read.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestDetails {
    /// Id that the caller chose for this attempt.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// The requested path, without the query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Sizes of prompt and answer, if the request states them.
    pub tokens: Option<TokenCount>,
    /// When the first byte arrived.
    pub arrived: MonoTime,
    /// When the caller stops waiting.
    pub deadline: MonoTime,
    /// Digest of caller, path and body.
    pub fingerprint: u64,
}

/// Size of a generation, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Maximum tokens of the answer.
    pub output: u64,
}
