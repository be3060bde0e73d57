use std::time::Duration;

/// Final outcome of a request that was not answered by a target, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The request has not run and will not run.
    Refused {
        /// Why it was refused.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No route table is in force yet.
    NoTable,
    /// No route matches the request, or its route has no services.
    NoRoute,
    /// Its route requires an account, and it has no key or an unknown one.
    UnknownKey,
    /// The quota of its account is used up.
    OverQuota,
    /// Its service has no usable target.
    NoTarget,
    /// Its service has targets, but none in a region where it may run.
    NoRegionTarget,
    /// No target is expected to answer it in time.
    Overloaded,
    /// Targets declined it and the retry budget is used up.
    BudgetSpent,
    /// Every attempt was declined by the target or not sent, and no further attempt is allowed.
    Declined,
    /// Its earlier runs broke connections to targets.
    Suspect,
    /// Its deadline passed before it was sent.
    TimedOut,
    /// The instance is stopping.
    Stopping,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The connection to the target broke, or the target stopped sending. Also given if a target
    /// may have run the request in an earlier attempt, and a later one was declined or impossible.
    Cut,
    /// The target sent an invalid answer.
    BadAnswer,
    /// The deadline passed while a target may have been running it.
    TimedOut,
    /// The instance stops while a target may be running it.
    Stopping,
}

/// Retry-after of a stopping instance: another instance can be tried at once.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

impl FinalOutcome {
    /// The refusal of an instance that is stopping.
    ///
    /// ```
    /// use kwg_gate::{FinalOutcome, RefusalReason};
    ///
    /// let outcome = FinalOutcome::stopping();
    /// assert!(matches!(outcome, FinalOutcome::Refused { reason: RefusalReason::Stopping, .. }));
    /// ```
    #[must_use]
    pub fn stopping() -> Self {
        Self::refused_until(RefusalReason::Stopping, STOPPING_RETRY)
    }

    /// A refusal without a retry time.
    #[must_use]
    pub fn refused(reason: RefusalReason) -> Self {
        Self::Refused { reason, retry_after: None }
    }

    /// A refusal with the time after which to retry.
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
            Self::Unknown(UnknownReason::Stopping) => "stopping-running",
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
            Self::NoRegionTarget => "no-region-target",
            Self::Overloaded => "overloaded",
            Self::BudgetSpent => "budget-spent",
            Self::Declined => "declined",
            Self::Suspect => "suspect",
            Self::TimedOut => "timed-out",
            Self::Stopping => "stopping",
        }
    }
}
