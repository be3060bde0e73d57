/// A request whose placement is to be explained.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExplainQuery {
    /// The requested host.
    pub host: String,
    /// The requested path.
    pub path: String,
    /// The account that sends it.
    pub account: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum tokens of the answer.
    pub output_tokens: u64,
}
