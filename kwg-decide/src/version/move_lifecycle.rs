use kwg_model::{MovePhase, MoveVerdict, VersionMove};

/// Traffic shares of the ramp's steps, in percent.
const RAMP_PERCENT: [u8; 4] = [10, 25, 50, 100];

/// A version move in progress, with the phase as type parameter.
///
/// Each transition consumes the previous phase. Any phase can be rolled back; only a soaking
/// move can finish.
///
/// ```compile_fail
/// fn skip(canary: kwg_decide::MoveLifecycle<kwg_decide::Canary>) {
///     // A canary must ramp and soak before it can finish.
///     canary.finish(0, String::new());
/// }
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveLifecycle<P> {
    row: VersionMove,
    phase: P,
}

/// The move is accepted; no order has been sent yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Staged;

/// Targets are loading the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loading;

/// A small share of traffic goes to the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Canary;

/// The traffic share of the new version is increased in steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramping {
    percent: u8,
}

/// All traffic goes to the new version; the old one stays loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Soaking;

impl<P> MoveLifecycle<P> {
    pub(super) fn from_row(row: &VersionMove, phase: P) -> Self {
        Self { row: row.clone(), phase }
    }

    fn enter<Q>(self, now_ms: u64, phase: MovePhase, next: Q) -> MoveLifecycle<Q> {
        let row = VersionMove { phase, phase_since_ms: now_ms, ..self.row };
        MoveLifecycle { row, phase: next }
    }

    /// Rolls the move back; the old version serves all traffic again.
    #[must_use]
    pub fn roll_back(self, now_ms: u64, verdict: MoveVerdict) -> VersionMove {
        VersionMove {
            phase: MovePhase::TakenBack,
            phase_since_ms: now_ms,
            verdict: Some(verdict),
            ..self.row
        }
    }

    /// Returns the move as stored in the pool table.
    #[must_use]
    pub fn into_row(self) -> VersionMove {
        self.row
    }
}

impl MoveLifecycle<Staged> {
    /// Starts loading the new version.
    #[must_use]
    pub fn start_loading(self, now_ms: u64) -> MoveLifecycle<Loading> {
        self.enter(now_ms, MovePhase::Loading, Loading)
    }
}

impl MoveLifecycle<Loading> {
    /// Starts the canary, after enough targets have loaded the new version.
    #[must_use]
    pub fn start_canary(self, now_ms: u64) -> MoveLifecycle<Canary> {
        self.enter(now_ms, MovePhase::Canary, Canary)
    }
}

impl MoveLifecycle<Canary> {
    /// Starts increasing the traffic share.
    #[must_use]
    pub fn start_ramp(self, now_ms: u64) -> MoveLifecycle<Ramping> {
        let percent = RAMP_PERCENT[0];
        self.enter(now_ms, MovePhase::Ramping(percent), Ramping { percent })
    }
}

impl MoveLifecycle<Ramping> {
    pub(super) fn resume(row: &VersionMove, percent: u8) -> Self {
        Self::from_row(row, Ramping { percent })
    }

    /// Increases the share, or starts the soak once all traffic is on the new version.
    #[must_use]
    pub fn raise(self, now_ms: u64) -> VersionMove {
        let percent = self.phase.percent;
        match RAMP_PERCENT.into_iter().find(|next| *next > percent) {
            Some(next) => {
                let phase = MovePhase::Ramping(next);
                self.enter(now_ms, phase, Ramping { percent: next }).into_row()
            }
            None => self.enter(now_ms, MovePhase::Soaking, Soaking).into_row(),
        }
    }
}

impl MoveLifecycle<Soaking> {
    /// Completes the move; the new version is the pool's version from then on.
    #[must_use]
    pub fn finish(self, now_ms: u64, evidence: String) -> VersionMove {
        let verdict = MoveVerdict { reason: "proved good".to_owned(), evidence };
        VersionMove {
            phase: MovePhase::Done,
            phase_since_ms: now_ms,
            verdict: Some(verdict),
            ..self.row
        }
    }
}
