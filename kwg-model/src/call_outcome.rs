use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome reported to the caller of a request that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The request has not been run and can never run under this ticket.
    NotRun(NotRunReason),
    /// The request may or may not have been run.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The request was shed, because work of its tier or higher ones fills the queue.
    Overload,
    /// The deadline passed, or would pass, before the request could be answered.
    Deadline,
    /// The ticket was revoked or had expired before the request could use it.
    TicketSpent,
    /// No target of the pool accepts work.
    NoTarget,
    /// The router is shutting down.
    Draining,
    /// The ticket's home did not grant the claim in time and has revoked the ticket.
    ClaimTimeout,
    /// Requests with the same route and body have crashed targets repeatedly.
    Poisoned,
}

/// Why it is unknown whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The ticket's home has ended or is unreachable, and none of the searched targets holds the
    /// stream.
    #[serde(rename = "HomeGone")]
    HomeEnded,
    /// The target failed after the request had been sent to it.
    TargetFailed,
    /// The answer, or the record of the ticket, is past its retention period.
    #[serde(rename = "AnswerGone")]
    AnswerExpired,
}

impl NotRunReason {
    /// Returns the reason as used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::TicketSpent => "ticket-spent",
            Self::NoTarget => "no-target",
            Self::Draining => "draining",
            Self::ClaimTimeout => "claim-timeout",
            Self::Poisoned => "poisoned",
        }
    }
}

impl UnknownReason {
    /// Returns the reason as used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HomeEnded => "home-gone",
            Self::TargetFailed => "target-failed",
            Self::AnswerExpired => "answer-gone",
        }
    }
}

impl CallOutcome {
    /// Returns the outcome as used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the reason as used in headers, logs and metrics.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.as_str(), self.reason())
    }
}
