use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller is told about a request that did not simply end with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The request has not been run and never will be under this ticket.
    NotRun(NotRunReason),
    /// The request may or may not have been run.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// Shed because the queue is full of work of this tier or above.
    Overload,
    /// The deadline passed, or would have, before the answer.
    Deadline,
    /// The ticket was burned or expired before the request could use it.
    TicketSpent,
    /// No target of the pool accepts work.
    NoTarget,
    /// The router is shutting down.
    Draining,
    /// The ticket's home granted nothing in time and has burned the ticket.
    ClaimTimeout,
    /// The request crashed every target that ran it.
    Poisoned,
}

/// Why the outcome of a request is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The ticket's home is gone or cut off, and no target holds the stream.
    HomeGone,
    /// The target failed after the request had been sent to it.
    TargetFailed,
    /// The answer is no longer kept.
    AnswerGone,
}

impl NotRunReason {
    /// The reason as the word used in headers, logs and metrics.
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
    /// The reason as the word used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HomeGone => "home-gone",
            Self::TargetFailed => "target-failed",
            Self::AnswerGone => "answer-gone",
        }
    }
}

impl CallOutcome {
    /// The outcome as the word used in headers, logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason as the word used in headers, logs and metrics.
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
