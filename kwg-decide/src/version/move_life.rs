use kwg_model::{MovePhase, MoveVerdict, VersionMove};

/// The shares of a ramp, in percent.
const RAMP_PERCENT: [u8; 4] = [10, 25, 50, 100];

/// A move under way. Each transition consumes the phase before it; any phase can be taken back,
/// and only a soaked version is done.
///
/// ```compile_fail
/// fn skip(life: kwg_decide::MoveLife<kwg_decide::Canary>) {
///     // A canary that was not ramped and soaked cannot be done.
///     life.finish(0, String::new());
/// }
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveLife<P> {
    row: VersionMove,
    phase: P,
}

/// Accepted, no order given yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Staged;

/// Targets load the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loading;

/// A small share of traffic tests the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Canary;

/// The share grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramping {
    percent: u8,
}

/// All traffic is on the new version, the old one stays loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Soaking;

impl<P> MoveLife<P> {
    pub(super) fn from_row(row: &VersionMove, phase: P) -> Self {
        Self { row: row.clone(), phase }
    }

    fn step<Q>(self, now_ms: u64, phase: MovePhase, next: Q) -> MoveLife<Q> {
        let row = VersionMove { phase, phase_since_ms: now_ms, ..self.row };
        MoveLife { row, phase: next }
    }

    /// Takes the move back; the old version serves again.
    #[must_use]
    pub fn take_back(self, now_ms: u64, verdict: MoveVerdict) -> VersionMove {
        VersionMove {
            phase: MovePhase::TakenBack,
            phase_since_ms: now_ms,
            verdict: Some(verdict),
            ..self.row
        }
    }

    /// The move as it goes into the table.
    #[must_use]
    pub fn into_row(self) -> VersionMove {
        self.row
    }
}

impl MoveLife<Staged> {
    /// Begins to load the version.
    #[must_use]
    pub fn load(self, now_ms: u64) -> MoveLife<Loading> {
        self.step(now_ms, MovePhase::Loading, Loading)
    }
}

impl MoveLife<Loading> {
    /// Begins to test the version: enough targets have loaded it.
    #[must_use]
    pub fn test(self, now_ms: u64) -> MoveLife<Canary> {
        self.step(now_ms, MovePhase::Canary, Canary)
    }
}

impl MoveLife<Canary> {
    /// Begins to raise the share.
    #[must_use]
    pub fn ramp(self, now_ms: u64) -> MoveLife<Ramping> {
        let percent = RAMP_PERCENT[0];
        self.step(now_ms, MovePhase::Ramping(percent), Ramping { percent })
    }
}

impl MoveLife<Ramping> {
    pub(super) fn at(row: &VersionMove, percent: u8) -> Self {
        Self::from_row(row, Ramping { percent })
    }

    /// Raises the share, or begins to soak once all traffic is on the new version.
    #[must_use]
    pub fn raise(self, now_ms: u64) -> VersionMove {
        let percent = self.phase.percent;
        match RAMP_PERCENT.into_iter().find(|next| *next > percent) {
            Some(next) => {
                let phase = MovePhase::Ramping(next);
                self.step(now_ms, phase, Ramping { percent: next }).into_row()
            }
            None => self.step(now_ms, MovePhase::Soaking, Soaking).into_row(),
        }
    }
}

impl MoveLife<Soaking> {
    /// Ends the move: the new version has taken over.
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
