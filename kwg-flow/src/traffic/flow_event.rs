use std::time::Duration;

use crate::Answered;
use kwg_model::{
    AccountName, CallOutcome, HomeAddress, ServiceTier, TargetName, TicketKey, VersionName,
};

/// Something that happened to one request, for logs, metrics and the time line.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowEvent {
    /// The ticket of the request.
    pub key: TicketKey,
    /// What happened.
    pub kind: EventKind,
}

/// What can happen to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// Accepted into the queue.
    Admitted {
        /// The tier.
        tier: ServiceTier,
        /// The client account.
        account: AccountName,
    },
    /// A claim was asked of another core.
    ClaimSent {
        /// The core.
        home: HomeAddress,
    },
    /// The order to dispatch was given to the target shell.
    Dispatched {
        /// The target.
        target: TargetName,
        /// The version.
        version: VersionName,
    },
    /// The target could not be reached; no byte was written.
    NotStarted {
        /// The target.
        target: TargetName,
    },
    /// A resend joined the answer of another core.
    Joined {
        /// The core that runs the request.
        holder: HomeAddress,
    },
    /// The answer is read on from its target.
    Resumed {
        /// The target.
        target: TargetName,
    },
    /// The stream from the target broke off.
    Cut {
        /// The target.
        target: TargetName,
    },
    /// The whole answer is here.
    Answered {
        /// The tier.
        tier: ServiceTier,
        /// The target.
        target: TargetName,
        /// The version.
        version: VersionName,
        /// Length, in bytes.
        length: u64,
        /// From arrival to end.
        total: Duration,
        /// From arrival to first byte.
        first_byte: Option<Duration>,
    },
    /// A resumed or joined answer is whole.
    Recovered {
        /// Length, in bytes.
        length: u64,
    },
    /// Ended without an answer.
    Failed {
        /// What the caller is told.
        outcome: CallOutcome,
        /// The tier, where it was known.
        tier: Option<ServiceTier>,
    },
    /// Nobody reads the answer any more; the target is told to stop.
    Cancelled,
    /// This core's ledger granted a claim.
    Granted {
        /// The core that may dispatch.
        claimer: HomeAddress,
    },
    /// This core's ledger burned the ticket.
    Burned,
}

impl EventKind {
    pub(crate) fn answered(figures: &Answered) -> Self {
        Self::Answered {
            tier: figures.tier,
            target: figures.target.clone(),
            version: figures.version.clone(),
            length: figures.length,
            total: figures.total,
            first_byte: figures.first_byte,
        }
    }

    /// The event's name in logs.
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
            Self::Burned => "burned",
        }
    }
}
