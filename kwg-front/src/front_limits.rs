use std::time::Duration;

/// What callers may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontLimits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Most open connections for each traffic thread.
    pub connections: usize,
    /// Most requests of one client account under way in each traffic thread.
    pub account_requests: usize,
    /// How long the head and the body of a request may take to come in.
    pub receive_timeout: Duration,
    /// Most steps of an answer that wait for a slow caller before it is cut off.
    pub reply_backlog: usize,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            connections: 2_000,
            account_requests: 1_000,
            receive_timeout: Duration::from_secs(10),
            reply_backlog: 1_024,
        }
    }
}
