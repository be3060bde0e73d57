use std::time::Duration;

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head, from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits before a table is known; they are those of common servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
