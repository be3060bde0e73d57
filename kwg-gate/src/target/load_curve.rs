/// Part of a point's weight in the curve; points come every 200 ms, so the curve covers about ten seconds.
const POINT_SHARE: f64 = 0.02;
/// Part of the time of a token by which it grows with each further request, until the target has shown more.
const USUAL_GROWTH: f64 = 0.03;
/// Weight of `USUAL_GROWTH`, as a variance of the number of requests.
const USUAL_VARIANCE: f64 = 1.0;
/// Upper bound of the growth, as a part of the time of a token.
const MAX_GROWTH: f64 = 0.5;
/// Least time of a token at fewer requests, as a part of the present one.
const MIN_PART: f64 = 0.3;

/// How the time of a token at a target depends on the number of requests that run beside it: a line through the points
/// of the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LoadCurve {
    points: f64,
    load: f64,
    step_ms: f64,
    variance: f64,
    covariance: f64,
}

impl LoadCurve {
    /// Adds a point: the mean load and time of a token in the last second.
    pub(crate) fn add(&mut self, load: f64, step_ms: f64) {
        self.points += 1.0;
        let share = (1.0 / self.points).max(POINT_SHARE);
        let (load_by, step_by) = (load - self.load, step_ms - self.step_ms);
        self.load += share * load_by;
        self.step_ms += share * step_by;
        self.variance = (1.0 - share) * (self.variance + share * load_by * load_by);
        self.covariance = (1.0 - share) * (self.covariance + share * load_by * step_by);
    }

    /// By how much a further request lengthens the time of a token that is `step_ms` now.
    pub(crate) fn growth_ms(&self, step_ms: f64) -> f64 {
        let usual = USUAL_GROWTH * step_ms;
        let growth = (self.covariance + USUAL_VARIANCE * usual) / (self.variance + USUAL_VARIANCE);
        growth.clamp(0.5 * usual, MAX_GROWTH * step_ms)
    }

    /// The time of a token with `added` more requests, or less if negative.
    pub(crate) fn step_with(&self, step_ms: f64, added: f64) -> f64 {
        (step_ms + added * self.growth_ms(step_ms)).max(MIN_PART * step_ms)
    }
}
