use std::time::Duration;

/// What the streams of a service promise to their callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamPromise {
    /// Tokens of an event.
    pub event_tokens: f64,
    /// Shortest of the pauses that its routes allow; `None` if none of them limits it.
    pub gap: Option<Duration>,
}
