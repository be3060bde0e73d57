use std::time::Duration;

/// Size, count and time limits for callers of one traffic thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrontLimits {
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections per traffic thread.
    pub connections: usize,
    /// Maximum number of concurrent requests of one client account per traffic thread.
    pub account_requests: usize,
    /// How long receiving the head and body of a request may take.
    pub receive_timeout: Duration,
    /// Maximum number of replies buffered for a slow caller before its connection is closed.
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
