use std::time::Duration;

use crate::Answered;
use kwg_model::{
    AccountName, CallOutcome, HomeAddress, ServiceTier, TargetName, TicketKey, VersionName,
};

/// An event of one request, for logs, metrics and the timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowEvent {
    /// Ticket of the request.
    pub key: TicketKey,
    /// What happened.
    pub kind: EventKind,
}

/// Kinds of request events.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// The request was accepted into the queue.
    Admitted {
        /// Tier of the request.
        tier: ServiceTier,
        /// Client account of the request.
        account: AccountName,
    },
    /// A claim was sent to another core.
    ClaimSent {
        /// Home of the ticket.
        home: HomeAddress,
    },
    /// The order to dispatch was passed to the target client.
    Dispatched {
        /// Selected target.
        target: TargetName,
        /// Version that serves the request.
        version: VersionName,
    },
    /// The target could not be reached; no byte was written.
    NotStarted {
        /// Target that could not be reached.
        target: TargetName,
    },
    /// A resend joined the answer relayed by another core.
    Joined {
        /// Core that runs the request.
        holder: HomeAddress,
    },
    /// Reading the answer continues at its target.
    Resumed {
        /// Target from which the stream is read.
        target: TargetName,
    },
    /// The stream from the target was interrupted.
    Cut {
        /// Target whose stream was interrupted.
        target: TargetName,
    },
    /// The complete answer was received.
    Answered {
        /// Tier of the request.
        tier: ServiceTier,
        /// Target that served the request.
        target: TargetName,
        /// Version that served the request.
        version: VersionName,
        /// Length of the answer, in bytes.
        length: u64,
        /// Time from arrival to the end of the answer.
        total: Duration,
        /// Time from arrival to the first byte.
        first_byte: Option<Duration>,
    },
    /// A resumed or joined answer is complete.
    Recovered {
        /// Length of the answer, in bytes.
        length: u64,
    },
    /// The request ended without an answer.
    Failed {
        /// Outcome reported to the caller.
        outcome: CallOutcome,
        /// Tier of the request, if known.
        tier: Option<ServiceTier>,
    },
    /// The answer has no readers; a cancel request is sent to the target.
    Cancelled,
    /// This core's ledger granted a claim.
    Granted {
        /// Core that may dispatch the request.
        claimer: HomeAddress,
    },
    /// This core's ledger revoked the ticket.
    Revoked,
}

impl EventKind {
    pub(crate) fn answered(measurements: &Answered) -> Self {
        Self::Answered {
            tier: measurements.tier,
            target: measurements.target.clone(),
            version: measurements.version.clone(),
            length: measurements.length,
            total: measurements.total,
            first_byte: measurements.first_byte,
        }
    }

    /// Returns the event's name in logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Admitted { .. } => "admitted",
            Self::ClaimSent { .. } => "claim-sent",
            Self::Dispatched { .. } => "dispatched",
            Self::NotStarted { .. } => "not-started",
            Self::Joined { .. } => "joined",
            Self::Resumed { .. } => "resumed",
            Self::Cut { .. } => "cut",
            Self::Answered { .. } => "answered",
            Self::Recovered { .. } => "recovered",
            Self::Failed { .. } => "failed",
            Self::Cancelled => "cancelled",
            Self::Granted { .. } => "granted",
            Self::Revoked => "burned",
        }
    }
}
