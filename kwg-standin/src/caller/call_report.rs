use std::time::Duration;

/// How one request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// Answered whole and right.
    Answered,
    /// Answered, and the answer is not the one that this request must get.
    Wrong,
    /// Not run, by the router's word.
    NotRun(String),
    /// Outcome unknown, by the router's word.
    Unknown(String),
    /// Not accepted, or no router could be reached for long.
    Rejected(String),
}

/// One request with its ticket, for checking against what the targets saw.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// The ticket, if the caller had one.
    pub ticket: Option<String>,
    /// Whether the answer comes from an engine.
    pub is_engine: bool,
    /// How it ended.
    pub result: CallResult,
    /// How often the request or its answer was sent again.
    pub resends: u32,
    /// From the first send to the first byte.
    pub first_byte: Option<Duration>,
    /// From the first send to the end.
    pub total: Duration,
}
