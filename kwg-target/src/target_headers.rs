/// Names of the headers that targets get and give.
#[derive(Debug, Clone, Copy)]
pub struct TargetHeaders;

impl TargetHeaders {
    /// The version that is to serve.
    pub const VERSION: &str = "kwg-version";
    /// Most tokens of the answer.
    pub const MAX_TOKENS: &str = "kwg-max-tokens";
    /// The ticket, for services that log it.
    pub const TICKET: &str = "kwg-ticket";
    /// The sender's hybrid clock.
    pub const STAMP: &str = "kwg-stamp";
}
