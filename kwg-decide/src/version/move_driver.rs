use kwg_model::{MovePhase, MoveVerdict, VersionMove};

use super::{Canary, Loading, MoveLifecycle, Ramping, Soaking, Staged};
use crate::JudgeVerdict;

/// Phase durations as fractions of the time between a move's start and its due time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovePlan {
    /// The canary lasts at least until this fraction of the move has passed, so that faults
    /// which appear late are found while the traffic share is small.
    pub canary_until: f64,
    /// Minimum duration of each step of the ramp.
    pub ramp_step: f64,
    /// Minimum duration of the soak.
    pub soak: f64,
}

impl Default for MovePlan {
    fn default() -> Self {
        Self { canary_until: 0.7, ramp_step: 0.04, soak: 0.08 }
    }
}

/// Inputs of [`MoveDriver::advance`].
#[derive(Debug, Clone, Copy)]
pub struct MoveInputs<'a> {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Number of targets of the pool.
    pub targets: usize,
    /// Current verdict of the canary judge.
    pub verdict: &'a JudgeVerdict,
    /// Evidence with which a router braked the version, if it is braked.
    pub brake_evidence: Option<&'a str>,
}

/// Decides the next transition of a version move. Only the leader applies it.
#[derive(Debug, Clone, Copy, Default)]
pub struct MoveDriver {
    plan: MovePlan,
}

impl MoveDriver {
    /// Creates a driver with this plan.
    #[must_use]
    pub fn new(plan: MovePlan) -> Self {
        Self { plan }
    }

    /// Returns the move after its next transition, or `None` if no transition is due.
    ///
    /// ```
    /// use kwg_decide::{JudgeVerdict, MoveDriver, MoveInputs};
    /// use kwg_model::{MovePhase, VersionMove, VersionName};
    ///
    /// let row = VersionMove::stage(VersionName::new("v2").expect("valid"), 0, 1_000);
    /// let verdict = &JudgeVerdict::Undecided;
    /// let inputs = MoveInputs { now_ms: 1, targets: 2, verdict, brake_evidence: None };
    /// let next = MoveDriver::default().advance(&row, &inputs).expect("starts loading");
    /// assert_eq!(next.phase, MovePhase::Loading);
    /// let late = MoveInputs { now_ms: 1_000, ..inputs };
    /// let next = MoveDriver::default().advance(&next, &late).expect("is past its due time");
    /// assert_eq!(next.phase, MovePhase::TakenBack);
    /// ```
    #[must_use]
    pub fn advance(&self, row: &VersionMove, inputs: &MoveInputs<'_>) -> Option<VersionMove> {
        let now = inputs.now_ms;
        if row.has_ended() {
            return None;
        }
        if let Some(verdict) = self.rollback_verdict(row, inputs) {
            // The rollback is the same in every phase.
            return Some(MoveLifecycle::from_row(row, Staged).roll_back(now, verdict));
        }
        let is_good = matches!(inputs.verdict, JudgeVerdict::Good(_));
        let fraction = |span_ms: u64| span_ms as f64 / row.span_ms().max(1) as f64;
        let phase_elapsed = fraction(now.saturating_sub(row.phase_since_ms));
        let move_elapsed = fraction(now.saturating_sub(row.started_ms));
        match row.phase {
            MovePhase::Staged => {
                Some(MoveLifecycle::from_row(row, Staged).start_loading(now).into_row())
            }
            MovePhase::Loading => (row.loaded.len() >= inputs.targets)
                .then(|| MoveLifecycle::from_row(row, Loading).start_canary(now).into_row()),
            MovePhase::Canary => (is_good && move_elapsed >= self.plan.canary_until)
                .then(|| MoveLifecycle::from_row(row, Canary).start_ramp(now).into_row()),
            MovePhase::Ramping(percent) => (phase_elapsed >= self.plan.ramp_step)
                .then(|| MoveLifecycle::<Ramping>::resume(row, percent).raise(now)),
            MovePhase::Soaking => match inputs.verdict {
                JudgeVerdict::Good(evidence) if phase_elapsed >= self.plan.soak => {
                    Some(MoveLifecycle::from_row(row, Soaking).finish(now, evidence.clone()))
                }
                _ => None,
            },
            MovePhase::Done | MovePhase::TakenBack => None,
        }
    }

    fn rollback_verdict(&self, row: &VersionMove, inputs: &MoveInputs<'_>) -> Option<MoveVerdict> {
        let verdict = |reason: &str, evidence: &str| {
            Some(MoveVerdict { reason: reason.to_owned(), evidence: evidence.to_owned() })
        };
        match (inputs.verdict, inputs.brake_evidence) {
            (JudgeVerdict::Bad(evidence), _) => verdict("found bad", evidence),
            (_, Some(evidence)) => verdict("braked by a router", evidence),
            _ if inputs.now_ms >= row.due_ms => {
                let phase = format!("{:?}", row.phase).to_lowercase();
                verdict("the set time came without proof of good", &format!("phase {phase}"))
            }
            _ => None,
        }
    }
}
