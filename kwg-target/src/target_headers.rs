/// Names of the headers in requests to targets and their responses.
#[derive(Debug, Clone, Copy)]
pub struct TargetHeaders;

impl TargetHeaders {
    /// The version that must serve the request.
    pub const VERSION: &str = "kwg-version";
    /// Maximum number of tokens in the answer.
    pub const MAX_TOKENS: &str = "kwg-max-tokens";
    /// Key of the request's ticket, by which targets log it.
    pub const TICKET: &str = "kwg-ticket";
    /// The sender's hybrid clock stamp.
    pub const STAMP: &str = "kwg-stamp";
}
