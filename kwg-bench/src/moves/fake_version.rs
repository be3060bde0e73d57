use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// How a simulated version behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionKind {
    /// Behaves like the old version.
    Good,
    /// Fails requests from the start.
    FailsAtOnce,
    /// Is slow from the start.
    SlowAtOnce,
    /// Fails requests from some time after its start.
    FailsLater,
    /// Fails requests while its target is near its limit.
    FailsUnderLoad,
    /// Fails the requests of one route only.
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

/// Share of requests that fail with the old version, or with a new one while it is not bad.
pub(super) const BASE_FAILURE: f64 = 0.005;
/// Standard deviation of the logarithm of response times.
const TIME_SPREAD: f64 = 0.4;
/// Load from which `FailsUnderLoad` versions fail, as a fraction of the target's limit.
const HEAVY_LOAD: f64 = 0.8;

/// A simulated version with its randomly drawn parameters.
#[derive(Debug, Clone)]
pub(super) struct FakeVersion {
    kind: VersionKind,
    /// Share of requests that fail while the version is bad.
    failure: f64,
    /// Factor on the response times of the old version.
    slowdown: f64,
    /// When a `FailsLater` version starts to fail, as a fraction of the move's window.
    onset: f64,
    /// Index of the route whose requests a `FailsOnOneRoute` version fails.
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

    /// Whether a request fails. `elapsed` is the elapsed fraction of the move's window, `load`
    /// the fraction of its target's limit in use.
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

    /// Draws a response time per unit of answer length; the median of the old version is 1.
    pub(super) fn time(&self, rng: &mut ChaCha8Rng) -> f64 {
        self.slowdown * draw_time(rng)
    }
}

/// Draws a response time of the old version per unit of answer length; the median is 1.
pub(super) fn draw_time(rng: &mut ChaCha8Rng) -> f64 {
    // The sum of twelve uniform numbers approximates a normal distribution.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (TIME_SPREAD * normal).exp()
}
