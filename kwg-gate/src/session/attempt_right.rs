use crate::{FinalWord, RefusalReason, RequestKind, UnknownReason};

/// Most targets that are asked for one request, those that declined included: a declining target
/// answers within milliseconds, and each question draws on the budget of repeats.
const MAX_SENDS: u8 = 4;

/// The right to send a request to a target. It exists once; sending consumes it.
#[derive(Debug, PartialEq, Eq)]
pub struct AttemptRight {
    kind: RequestKind,
    runs_left: u8,
    sends_left: u8,
    may_have_run: bool,
}

/// A request that a target may be running.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenAttempt(AttemptRight);

/// What is known of an attempt that brought no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvidence {
    /// Not a byte was handed to the system for sending.
    NotSent,
    /// The target says that it did not run it.
    Declined,
    /// The connection broke before an answer began, or the answer broke before its end.
    Cut,
    /// What came is no answer to this request.
    BadAnswer,
    /// The target has been silent for longer than it should.
    Silent,
    /// The target answered with a failure of its own.
    TargetFailure,
    /// The request's time is over.
    TimedOut,
}

/// What follows from an attempt that has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptVerdict {
    /// It may be sent again.
    Again(AttemptRight),
    /// It may not, and this is the truth about it.
    Final(FinalWord),
}

impl AttemptEvidence {
    /// The evidence's name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not-sent",
            Self::Declined => "declined",
            Self::Cut => "cut",
            Self::BadAnswer => "bad-answer",
            Self::Silent => "silent",
            Self::TargetFailure => "target-failure",
            Self::TimedOut => "timed-out",
        }
    }
}

impl AttemptRight {
    /// The right of a new request.
    #[must_use]
    pub fn new(kind: RequestKind, max_attempts: u8) -> Self {
        Self { kind, runs_left: max_attempts.max(1), sends_left: MAX_SENDS, may_have_run: false }
    }

    /// Spends the right: from here on the request may run.
    #[must_use]
    pub fn spend(self) -> OpenAttempt {
        OpenAttempt(self)
    }

    /// Whether a target may have run it before.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}

impl OpenAttempt {
    /// Ends the attempt with what is known of it.
    ///
    /// ```
    /// use kwg_gate::{AttemptEvidence, AttemptRight, AttemptVerdict, RequestKind};
    ///
    /// let once = AttemptRight::new(RequestKind::NonIdempotent, 2).spend();
    /// assert!(matches!(once.close(AttemptEvidence::Cut), AttemptVerdict::Final(_)));
    /// let twice = AttemptRight::new(RequestKind::Idempotent, 2).spend();
    /// assert!(matches!(twice.close(AttemptEvidence::Cut), AttemptVerdict::Again(_)));
    /// ```
    #[must_use]
    pub fn close(self, evidence: AttemptEvidence) -> AttemptVerdict {
        let AttemptRight { kind, runs_left, sends_left, may_have_run } = self.0;
        let again = |runs_left: u8, may_have_run: bool, word: FinalWord| {
            let sends_left = sends_left.saturating_sub(1);
            match runs_left > 0 && sends_left > 0 {
                true => AttemptVerdict::Again(AttemptRight {
                    kind,
                    runs_left,
                    sends_left,
                    may_have_run,
                }),
                false => AttemptVerdict::Final(word),
            }
        };
        let after_run = |reason: UnknownReason| match kind.is_repeatable() {
            true => again(runs_left.saturating_sub(1), true, FinalWord::Unknown(reason)),
            false => AttemptVerdict::Final(FinalWord::Unknown(reason)),
        };
        match evidence {
            // What another target may have run before cannot be said not to have run.
            AttemptEvidence::NotSent | AttemptEvidence::Declined => {
                let word = match may_have_run {
                    true => FinalWord::Unknown(UnknownReason::Cut),
                    false => FinalWord::refused(RefusalReason::Declined),
                };
                again(runs_left, may_have_run, word)
            }
            AttemptEvidence::Cut | AttemptEvidence::Silent => after_run(UnknownReason::Cut),
            AttemptEvidence::BadAnswer | AttemptEvidence::TargetFailure => {
                after_run(UnknownReason::BadAnswer)
            }
            AttemptEvidence::TimedOut => {
                AttemptVerdict::Final(FinalWord::Unknown(UnknownReason::TimedOut))
            }
        }
    }
}
