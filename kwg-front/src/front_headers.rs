/// Names of the headers in callers' requests and their responses.
#[derive(Debug, Clone, Copy)]
pub struct FrontHeaders;

impl FrontHeaders {
    /// The ticket of the request; in requests and responses.
    pub const TICKET: &str = "kwg-ticket";
    /// The caller's identifier for the request, in place of a ticket.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The token that resumes an answer; in requests and responses.
    pub const RESUME: &str = "kwg-resume";
    /// The offset after the last byte that the caller has received.
    pub const LAST_EVENT_ID: &str = "last-event-id";
    /// The service tier; one above the route's is replaced by the route's.
    pub const TIER: &str = "kwg-tier";
    /// Time within which the request must be dispatched, in milliseconds.
    pub const DEADLINE_MS: &str = "kwg-deadline-ms";
    /// `true` if the request must not run twice.
    pub const NON_IDEMPOTENT: &str = "kwg-non-idempotent";
    /// Maximum number of tokens in the answer.
    pub const MAX_TOKENS: &str = "kwg-max-tokens";
    /// How a request without an answer ended: `not-run`, `unknown` or `rejected`.
    pub const OUTCOME: &str = "kwg-outcome";
    /// The reason for that outcome.
    pub const REASON: &str = "kwg-reason";
    /// How long to wait before a retry, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
}
