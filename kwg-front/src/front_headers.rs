/// Names of the headers that callers send and get.
#[derive(Debug, Clone, Copy)]
pub struct FrontHeaders;

impl FrontHeaders {
    /// The ticket of the request, both ways.
    pub const TICKET: &str = "kwg-ticket";
    /// The caller's own name for the request, in place of a ticket.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The token that resumes an answer, both ways.
    pub const RESUME: &str = "kwg-resume";
    /// The offset behind the last byte that the caller has.
    pub const LAST_EVENT_ID: &str = "last-event-id";
    /// A lower tier than the route gives.
    pub const TIER: &str = "kwg-tier";
    /// How long the caller waits for the first byte, in milliseconds.
    pub const DEADLINE_MS: &str = "kwg-deadline-ms";
    /// `true` if a second run would do harm.
    pub const NON_IDEMPOTENT: &str = "kwg-non-idempotent";
    /// Most tokens of the answer.
    pub const MAX_TOKENS: &str = "kwg-max-tokens";
    /// How a request without an answer ended: `not-run`, `unknown` or `rejected`.
    pub const OUTCOME: &str = "kwg-outcome";
    /// Why.
    pub const REASON: &str = "kwg-reason";
    /// When to send again, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
}
