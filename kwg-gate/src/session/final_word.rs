use std::time::Duration;

/// What a caller is told of a request that was not answered by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalWord {
    /// It has not run and never will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it is worth another try.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoTable,
    /// No route takes it.
    NoRoute,
    /// Nobody holds its key.
    UnknownKey,
    /// Its account has used its quota.
    OverQuota,
    /// Its service has no usable target.
    NoTarget,
    /// No target is expected to answer it in time.
    Overloaded,
    /// Targets declined it and the budget of repeats is spent.
    BudgetSpent,
    /// Every target that was asked declined it.
    Declined,
    /// It has broken its targets before.
    Suspect,
    /// Its time ran out before it was sent.
    TimedOut,
    /// The instance is stopping.
    Stopping,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection to its target broke.
    Cut,
    /// The target sent what is no answer to it.
    BadAnswer,
    /// Its time ran out while a target had it.
    TimedOut,
}

impl FinalWord {
    /// A refusal without a time to come back.
    #[must_use]
    pub fn refused(reason: RefusalReason) -> Self {
        Self::Refused { reason, retry_after: None }
    }

    /// A refusal that names the time to come back.
    #[must_use]
    pub fn refused_until(reason: RefusalReason, retry_after: Duration) -> Self {
        Self::Refused { reason, retry_after: Some(retry_after) }
    }

    /// The reason's name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused { reason, .. } => reason.as_str(),
            Self::Unknown(UnknownReason::Cut) => "cut",
            Self::Unknown(UnknownReason::BadAnswer) => "bad-answer",
            Self::Unknown(UnknownReason::TimedOut) => "timed-out-running",
        }
    }
}

impl RefusalReason {
    /// The reason's name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTable => "no-table",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::OverQuota => "over-quota",
            Self::NoTarget => "no-target",
            Self::Overloaded => "overloaded",
            Self::BudgetSpent => "budget-spent",
            Self::Declined => "declined",
            Self::Suspect => "suspect",
            Self::TimedOut => "timed-out",
            Self::Stopping => "stopping",
        }
    }
}
