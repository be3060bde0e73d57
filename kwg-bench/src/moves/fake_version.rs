use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How a fake version behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionKind {
    /// Like the old one.
    Good,
    /// Fails from the start.
    FailsAtOnce,
    /// Is slow from the start.
    SlowAtOnce,
    /// Fails some time after its start.
    FailsLater,
    /// Fails while its target is near its limit.
    FailsUnderLoad,
    /// Fails on one route only.
    FailsOnOneRoute,
}

impl VersionKind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::FailsAtOnce,
        Self::SlowAtOnce,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
    ];
}

/// Share of failed answers of any version.
pub(super) const BASE_FAILURE: f64 = 0.005;
/// Spread of answering times, as the standard deviation of their logarithm.
const TIME_SPREAD: f64 = 0.4;
/// Load of a target, as a part of its limit, from which some versions fail.
const HEAVY_LOAD: f64 = 0.8;

/// One fake version with its own numbers.
#[derive(Debug, Clone)]
pub(super) struct FakeVersion {
    kind: VersionKind,
    failure: f64,
    slowdown: f64,
    onset: f64,
    bad_route: usize,
}

impl FakeVersion {
    pub(super) fn draw(kind: VersionKind, routes: usize, rng: &mut ChaCha8Rng) -> Self {
        let slowdown = match kind {
            VersionKind::SlowAtOnce => rng.random_range(1.8..4.0),
            _ => rng.random_range(0.95..1.05),
        };
        Self {
            kind,
            failure: rng.random_range(0.15..0.6),
            slowdown,
            onset: rng.random_range(0.1..0.6),
            bad_route: rng.random_range(0..routes),
        }
    }

    /// Whether an answer fails. `elapsed` is the part of the move's time that has passed,
    /// `load` that of its target's limit which is in use.
    pub(super) fn fails(
        &self,
        route: usize,
        elapsed: f64,
        load: f64,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let is_bad = match self.kind {
            VersionKind::Good | VersionKind::SlowAtOnce => false,
            VersionKind::FailsAtOnce => true,
            VersionKind::FailsLater => elapsed >= self.onset,
            VersionKind::FailsUnderLoad => load >= HEAVY_LOAD,
            VersionKind::FailsOnOneRoute => route == self.bad_route,
        };
        rng.random_bool(if is_bad { self.failure } else { BASE_FAILURE })
    }

    /// The time of an answer, relative to its length.
    pub(super) fn time(&self, rng: &mut ChaCha8Rng) -> f64 {
        self.slowdown * draw_time(rng)
    }
}

/// The time of an answer of the old version, relative to its length.
pub(super) fn draw_time(rng: &mut ChaCha8Rng) -> f64 {
    // The sum of twelve uniform numbers is close to normal.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (TIME_SPREAD * normal).exp()
}
