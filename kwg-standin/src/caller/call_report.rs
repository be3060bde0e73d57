use std::time::Duration;

/// Result of a request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The answer is complete and correct.
    Answered,
    /// The answer differs from the reference answer or is malformed.
    Wrong,
    /// The router reports that the request did not run, with the reason.
    NotRun(String),
    /// It is unknown whether the request ran, with the reason.
    Unknown(String),
    /// The request was not accepted, or no send of it led to a result, with the reason.
    Rejected(String),
}

/// Result of a request and its ticket, for comparison with the targets' logs.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// The ticket, if the caller got one.
    pub ticket: Option<String>,
    /// Whether the request went to an engine rather than a plain service.
    pub is_engine: bool,
    /// The result.
    pub result: CallResult,
    /// How many sends followed the first.
    pub resends: u32,
    /// Time from the start of the call to the first part of the answer.
    pub first_byte: Option<Duration>,
    /// Time from the start of the call to its end.
    pub total: Duration,
}
