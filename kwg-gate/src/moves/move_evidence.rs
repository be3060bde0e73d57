use kwg_decide::{JudgeOptions, JudgeVerdict, VersionJudge};
use serde::{Deserialize, Serialize};

use super::{AnswerOutcome, PaceHistogram, RouteTally, VersionTally};
use crate::RouteLabel;

/// Number of routes that are counted apart; the answers of further ones are counted together.
const MAX_ROUTES: usize = 24;
/// Name under which the answers of further routes are counted.
const OTHER_ROUTES: &str = "other routes";

/// Counts of the answers of both versions of a move, by route.
///
/// Versions are compared on each route, since routes differ in the length of their answers, and
/// a version may be bad on one of them only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEvidence {
    routes: Vec<RouteTally>,
}

impl MoveEvidence {
    /// Counts an attempt.
    pub fn record(&mut self, route: &str, is_new: bool, outcome: AnswerOutcome) {
        self.version_mut(route, is_new).record(outcome);
    }

    /// Counts an attempt that has been open for too long.
    pub fn record_overdue(&mut self, route: &str, is_new: bool) {
        self.version_mut(route, is_new).overdue += 1;
    }

    /// Adds the counts of another instance, or of a failure domain.
    pub fn add(&mut self, other: &Self) {
        other.routes.iter().for_each(|tally| self.route_mut(tally.route.as_str()).add(tally));
    }

    /// Raises the counts to those of other ones where these are higher.
    pub(super) fn raise(&mut self, other: &Self) {
        other.routes.iter().for_each(|tally| self.route_mut(tally.route.as_str()).raise(tally));
    }

    /// Raises the counts of ended attempts to those of earlier ones where these are higher.
    pub(super) fn raise_ended(&mut self, earlier: &Self) {
        for tally in &earlier.routes {
            self.route_mut(tally.route.as_str()).raise(&tally.without_overdue());
        }
    }

    /// Removes counts that these include.
    pub fn subtract(&mut self, part: &Self) {
        for tally in &mut self.routes {
            if let Some(part) = part.routes.iter().find(|part| part.route == tally.route) {
                tally.subtract(part);
            }
        }
    }

    /// Counts of the new version over all routes.
    #[must_use]
    pub fn new_total(&self) -> VersionTally {
        sum(self.routes.iter().map(|tally| &tally.new))
    }

    /// Counts of the old version over all routes.
    #[must_use]
    pub fn old_total(&self) -> VersionTally {
        sum(self.routes.iter().map(|tally| &tally.old))
    }

    /// Number of attempts of both versions over all routes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.routes.iter().fold(0, |sum: u32, tally| sum.saturating_add(tally.total()))
    }

    /// Factor on the share of a route's requests for the new version, by which all busy routes yield
    /// the same number of its answers, and as many in all. 1 for other routes.
    #[must_use]
    pub fn route_factor(&self, route: &str) -> f64 {
        /// Part of all answers from which a route is busy.
        const BUSY_PART: f64 = 0.05;
        let total = f64::from(self.total());
        let is_busy = |tally: &&RouteTally| f64::from(tally.total()) > BUSY_PART * total;
        let busy = || self.routes.iter().filter(is_busy);
        let busy_total: f64 = busy().map(|tally| f64::from(tally.total())).sum();
        let own = busy().find(|tally| tally.route.as_str() == route);
        own.map_or(1.0, |own| busy_total / (f64::from(own.total()) * busy().count() as f64))
    }

    /// Compares the versions. Answers are slow from `slow_factor` times the pace on that few answers of the
    /// old version exceed.
    #[must_use]
    pub fn verdict(&self, options: JudgeOptions, slow_factor: f64) -> JudgeVerdict {
        let totals = self.routes.iter().map(|tally| {
            let slow_bucket = tally.old.paces.quantile_bucket(options.slow_quantile);
            let slow_bucket = PaceHistogram::bucket_times(slow_bucket, slow_factor);
            (tally.route.clone(), tally.old.batch(slow_bucket), tally.new.batch(slow_bucket))
        });
        VersionJudge::from_totals(options, totals).verdict()
    }

    /// Whether the answers of the new version rule out a harmful increase in failures over all routes,
    /// compared with those of the old version in `standard`. Slow answers are not considered.
    #[must_use]
    pub fn rules_out_failures(&self, standard: &Self, options: JudgeOptions) -> bool {
        let total = ("all routes", standard.old_total().batch(0), self.new_total().batch(0));
        VersionJudge::from_totals(options, [total]).rules_out_failures()
    }

    fn version_mut(&mut self, route: &str, is_new: bool) -> &mut VersionTally {
        let tally = self.route_mut(route);
        if is_new { &mut tally.new } else { &mut tally.old }
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteTally {
        let known = |routes: &[RouteTally], name: &str| {
            routes.iter().position(|tally| tally.route.as_str() == name)
        };
        let name = match known(&self.routes, route) {
            None if self.routes.len() >= MAX_ROUTES => OTHER_ROUTES,
            _ => route,
        };
        let index = known(&self.routes, name).unwrap_or_else(|| {
            self.routes.push(RouteTally::new(RouteLabel::new(name)));
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }
}

fn sum<'a>(tallies: impl Iterator<Item = &'a VersionTally>) -> VersionTally {
    let mut sum = VersionTally::default();
    tallies.for_each(|tally| sum.add(tally));
    sum
}
