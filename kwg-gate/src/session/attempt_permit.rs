use crate::{FinalOutcome, RefusalReason, RequestKind, UnknownReason};

/// Maximum number of targets to which one request is sent, those that decline it included. A
/// declining target answers within milliseconds, and each further attempt uses the retry budget. A
/// target that cannot be connected does not count: nothing is sent to it.
const MAX_SENDS: u8 = 4;

/// Permit to send a request to a target. Each request has one; sending consumes it.
#[derive(Debug, PartialEq, Eq)]
pub struct AttemptPermit {
    kind: RequestKind,
    /// Number of runs that may still end, the open ones included.
    runs_left: u8,
    sends_left: u8,
    may_have_run: bool,
    return_run: ReturnRun,
}

/// One more run of a request at the target that a hand-over has left. That one had not failed, and a
/// run there adds no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReturnRun {
    /// No target has been left in a hand-over.
    None,
    /// It may follow when no other run is left.
    Granted,
    /// It is the last run, and is counted among those that are left.
    Last,
}

/// An attempt that has been sent: a target may be running the request.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenAttempt(AttemptPermit);

/// An attempt of a request that has been sent to a second target: both may be running it.
#[derive(Debug, PartialEq, Eq)]
pub struct SharedAttempt(AttemptPermit);

/// What is known about an attempt that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// No byte was handed to the operating system for sending.
    NotSent,
    /// The target reports that it did not run the request.
    Declined,
    /// The connection broke before the answer began or before its end.
    Cut,
    /// The reply is not a valid answer to this request.
    BadAnswer,
    /// The target sent nothing for longer than allowed.
    Silent,
    /// Another target answered, or the request was shown to this one only for a while; nothing is
    /// known about the target.
    Withdrawn,
    /// The target replied with a status other than 2xx, 408, 421, 429 or 503, without declining the
    /// request.
    TargetFailure,
    /// The deadline of the request has passed.
    TimedOut,
}

/// What follows from the end of an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// The request may be sent again.
    Retry(AttemptPermit),
    /// The request must not be sent again; this is its outcome.
    Final(FinalOutcome),
}

impl AttemptEvidence {
    /// Whether an attempt after this one is taken from the retry budget. A request that was not sent
    /// never reached a target.
    pub(crate) fn needs_budget(self) -> bool {
        self != Self::NotSent
    }

    /// Whether the target may have run the request.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, Self::NotSent | Self::Declined)
    }

    /// The evidence's name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Declined => "declined",
            Self::Cut => "cut",
            Self::BadAnswer => "bad-answer",
            Self::Silent => "silent",
            Self::Withdrawn => "withdrawn",
            Self::TargetFailure => "target-failure",
            Self::TimedOut => "timed-out",
        }
    }
}

impl AttemptPermit {
    /// Creates the permit of a new request that may run at most `max_attempts` times.
    #[must_use]
    pub fn new(kind: RequestKind, max_attempts: u8) -> Self {
        Self {
            kind,
            runs_left: max_attempts.max(1),
            sends_left: MAX_SENDS,
            may_have_run: false,
            return_run: ReturnRun::None,
        }
    }

    /// Consumes the permit; from here on the request may run.
    #[must_use]
    pub fn start(self) -> OpenAttempt {
        OpenAttempt(self)
    }

    /// Whether a target may have run the request in an earlier attempt.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the request may only be sent to the target that a hand-over has left, since the runs at
    /// further targets are used up.
    pub(crate) fn is_return(&self) -> bool {
        self.return_run == ReturnRun::Last
    }

    /// Uses the return run if no other run is left beside `open` ones that have not ended.
    fn with_return_run(self, open: u8) -> Self {
        match self.return_run {
            ReturnRun::Granted if self.runs_left == open => {
                Self { runs_left: open + 1, return_run: ReturnRun::Last, ..self }
            }
            _ => self,
        }
    }
}

impl OpenAttempt {
    /// Whether the request may be sent to another target although this one may have run it.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        let has_run = self.0.runs_left > 1 || self.0.return_run == ReturnRun::Granted;
        self.0.kind.is_retryable() && has_run && self.0.sends_left > 1
    }

    /// Whether the next run can only be one at the target that a hand-over has left.
    pub(crate) fn is_return_next(&self) -> bool {
        self.0.is_return() || (self.0.return_run == ReturnRun::Granted && self.0.runs_left == 1)
    }

    /// Consumes one more run, to send the request to a second target as well. `take_budget` is
    /// called if the request may run again, and returns whether the budget allows it.
    ///
    /// # Errors
    /// The unchanged attempt if the request may not run again.
    pub fn share(self, take_budget: impl FnOnce() -> bool) -> Result<SharedAttempt, Self> {
        match self.may_run_again() && take_budget() {
            true => Ok(SharedAttempt(self.0.with_return_run(1))),
            false => Err(self),
        }
    }

    /// Ends the attempt with the evidence of what happened.
    ///
    /// ```
    /// use kwg_gate::{AttemptEvidence, AttemptPermit, AttemptVerdict, RequestKind};
    ///
    /// let non_idempotent = AttemptPermit::new(RequestKind::NonIdempotent, 2).start();
    /// assert!(matches!(non_idempotent.close(AttemptEvidence::Cut), AttemptVerdict::Final(_)));
    /// let idempotent = AttemptPermit::new(RequestKind::Idempotent, 2).start();
    /// assert!(matches!(idempotent.close(AttemptEvidence::Cut), AttemptVerdict::Retry(_)));
    /// ```
    #[must_use]
    pub fn close(self, evidence: AttemptEvidence) -> AttemptVerdict {
        let AttemptPermit { kind, runs_left, sends_left, may_have_run, .. } = self.0;
        // The pause before a return is not applied to a return run, so that each one counts.
        let is_free = evidence == AttemptEvidence::NotSent && !self.0.is_return();
        let sends_left = sends_left.saturating_sub(u8::from(!is_free));
        let retry = |runs_left: u8, may_have_run: bool, outcome: FinalOutcome| {
            let permit = AttemptPermit { runs_left, sends_left, may_have_run, ..self.0 };
            let permit = permit.with_return_run(0);
            match permit.runs_left > 0 && permit.sends_left > 0 {
                true => AttemptVerdict::Retry(permit),
                false => AttemptVerdict::Final(outcome),
            }
        };
        let after_run = |reason: UnknownReason| match kind.is_retryable() {
            true => retry(runs_left.saturating_sub(1), true, FinalOutcome::Unknown(reason)),
            false => AttemptVerdict::Final(FinalOutcome::Unknown(reason)),
        };
        match evidence {
            // If an earlier target may have run the request, it must not be reported as refused.
            AttemptEvidence::NotSent | AttemptEvidence::Declined => {
                let outcome = match may_have_run {
                    true => FinalOutcome::Unknown(UnknownReason::Cut),
                    false => FinalOutcome::refused(RefusalReason::Declined),
                };
                retry(runs_left, may_have_run, outcome)
            }
            AttemptEvidence::Cut | AttemptEvidence::Silent | AttemptEvidence::Withdrawn => {
                after_run(UnknownReason::Cut)
            }
            AttemptEvidence::BadAnswer | AttemptEvidence::TargetFailure => {
                after_run(UnknownReason::BadAnswer)
            }
            AttemptEvidence::TimedOut => {
                AttemptVerdict::Final(FinalOutcome::Unknown(UnknownReason::TimedOut))
            }
        }
    }
}

impl SharedAttempt {
    /// Ends the first run with the evidence of what happened; the second one goes on. The request may
    /// return once to a target that was only silent.
    #[must_use]
    pub fn end_first(self, evidence: AttemptEvidence) -> OpenAttempt {
        let OpenAttempt(permit) = self.end_one(evidence);
        OpenAttempt(match (evidence, permit.return_run) {
            (AttemptEvidence::Silent, ReturnRun::None) => {
                AttemptPermit { return_run: ReturnRun::Granted, ..permit }
            }
            _ => permit,
        })
    }

    /// Ends the second run with the evidence of what happened; the first one goes on.
    ///
    /// ```
    /// use kwg_gate::{AttemptEvidence, AttemptPermit, RequestKind};
    ///
    /// let open = AttemptPermit::new(RequestKind::Idempotent, 2).start();
    /// let shared = open.share(|| true).expect("two runs are allowed");
    /// assert!(!shared.end_second(AttemptEvidence::Cut).may_run_again());
    /// let open = AttemptPermit::new(RequestKind::Idempotent, 2).start();
    /// let shared = open.share(|| true).expect("two runs are allowed");
    /// assert!(shared.end_second(AttemptEvidence::Declined).may_run_again());
    /// ```
    #[must_use]
    pub fn end_second(self, evidence: AttemptEvidence) -> OpenAttempt {
        self.end_one(evidence)
    }

    fn end_one(self, evidence: AttemptEvidence) -> OpenAttempt {
        let has_run = evidence.may_have_run();
        let is_free = evidence == AttemptEvidence::NotSent && !self.0.is_return();
        let AttemptPermit { runs_left, sends_left, may_have_run, .. } = self.0;
        OpenAttempt(AttemptPermit {
            runs_left: runs_left.saturating_sub(u8::from(has_run)),
            sends_left: sends_left.saturating_sub(u8::from(!is_free)),
            may_have_run: may_have_run || has_run,
            ..self.0
        })
    }
}
