use std::time::Duration;

/// Size and time limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a head, in bytes.
    pub head_bytes: usize,
    /// Maximum length of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a route table is in force; typical values of common servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
