use kwg_model::{MovePhase, MoveVerdict, VersionMove};

use super::{Canary, Loading, MoveLife, Ramping, Soaking, Staged};
use crate::JudgeVerdict;

/// Parts of the time between a move's start and its set time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovePlan {
    /// The canary lasts at least until this part of the time has passed: badness that comes
    /// late is to show while the share is small.
    pub canary_until: f64,
    /// Each step of the ramp lasts at least this part.
    pub ramp_step: f64,
    /// The soak lasts at least this part.
    pub soak: f64,
}

impl Default for MovePlan {
    fn default() -> Self {
        Self { canary_until: 0.7, ramp_step: 0.04, soak: 0.08 }
    }
}

/// What the driver looks at.
#[derive(Debug, Clone, Copy)]
pub struct MoveFacts<'a> {
    /// The leader's wall clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// How many targets of the pool there are.
    pub targets: usize,
    /// What the judge says.
    pub verdict: &'a JudgeVerdict,
    /// Why some router has put the brake on, if one has.
    pub brake: Option<&'a str>,
}

/// Decides the next step of a move. Only the leader acts on it.
#[derive(Debug, Clone, Copy, Default)]
pub struct MoveDriver {
    plan: MovePlan,
}

impl MoveDriver {
    /// A driver with this plan.
    #[must_use]
    pub fn new(plan: MovePlan) -> Self {
        Self { plan }
    }

    /// The move after its next step, `None` if it stays as it is.
    ///
    /// ```
    /// use kwg_decide::{JudgeVerdict, MoveDriver, MoveFacts};
    /// use kwg_model::{MovePhase, VersionMove, VersionName};
    ///
    /// let row = VersionMove::stage(VersionName::new("v2").expect("valid"), 0, 1_000);
    /// let facts =
    ///     MoveFacts { now_ms: 1, targets: 2, verdict: &JudgeVerdict::Open, brake: None };
    /// let next = MoveDriver::default().advance(&row, &facts).expect("loading begins");
    /// assert_eq!(next.phase, MovePhase::Loading);
    /// let late = MoveFacts { now_ms: 1_000, ..facts };
    /// let next = MoveDriver::default().advance(&next, &late).expect("the time is up");
    /// assert_eq!(next.phase, MovePhase::TakenBack);
    /// ```
    #[must_use]
    pub fn advance(&self, row: &VersionMove, facts: &MoveFacts<'_>) -> Option<VersionMove> {
        let now = facts.now_ms;
        if row.has_ended() {
            return None;
        }
        if let Some(verdict) = self.reason_to_take_back(row, facts) {
            // The phase makes no difference to a move that is taken back.
            return Some(MoveLife::from_row(row, Staged).take_back(now, verdict));
        }
        let is_good = matches!(facts.verdict, JudgeVerdict::Good(_));
        let part = |span_ms: u64| span_ms as f64 / row.span_ms().max(1) as f64;
        let in_phase = part(now.saturating_sub(row.phase_since_ms));
        let in_move = part(now.saturating_sub(row.started_ms));
        match row.phase {
            MovePhase::Staged => Some(MoveLife::from_row(row, Staged).load(now).into_row()),
            MovePhase::Loading => (row.loaded.len() >= facts.targets)
                .then(|| MoveLife::from_row(row, Loading).test(now).into_row()),
            MovePhase::Canary => (is_good && in_move >= self.plan.canary_until)
                .then(|| MoveLife::from_row(row, Canary).ramp(now).into_row()),
            MovePhase::Ramping(percent) => (in_phase >= self.plan.ramp_step)
                .then(|| MoveLife::<Ramping>::at(row, percent).raise(now)),
            MovePhase::Soaking => match facts.verdict {
                JudgeVerdict::Good(evidence) if in_phase >= self.plan.soak => {
                    Some(MoveLife::from_row(row, Soaking).finish(now, evidence.clone()))
                }
                _ => None,
            },
            MovePhase::Done | MovePhase::TakenBack => None,
        }
    }

    fn reason_to_take_back(&self, row: &VersionMove, facts: &MoveFacts<'_>) -> Option<MoveVerdict> {
        let verdict = |reason: &str, evidence: &str| {
            Some(MoveVerdict { reason: reason.to_owned(), evidence: evidence.to_owned() })
        };
        match (facts.verdict, facts.brake) {
            (JudgeVerdict::Bad(evidence), _) => verdict("found bad", evidence),
            (_, Some(evidence)) => verdict("braked by a router", evidence),
            _ if facts.now_ms >= row.due_ms => {
                let phase = format!("{:?}", row.phase).to_lowercase();
                verdict("the set time came without proof of good", &format!("phase {phase}"))
            }
            _ => None,
        }
    }
}
