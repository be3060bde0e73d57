use std::collections::BTreeMap;
use std::fmt::Display;

use kwg_model::RouteName;

use super::{BettingTest, JudgeOptions, SampleBatch};

/// Compares a new version with the old one, per route and over all routes, while both serve. `R` names
/// a route.
///
/// ```
/// use kwg_decide::{JudgeOptions, JudgeVerdict, SampleBatch, VersionJudge};
/// use kwg_model::RouteName;
///
/// let route = RouteName::new("labels").expect("valid");
/// let mut judge = VersionJudge::new(JudgeOptions::default(), 1);
/// let baseline = SampleBatch { count: 500, timed: 500, slow: 50, ..SampleBatch::default() };
/// judge.add_old(&route, &baseline);
/// judge.add_new(&route, &SampleBatch { count: 20, failures: 15, ..SampleBatch::default() });
/// assert!(matches!(judge.verdict(), JudgeVerdict::Bad(_)));
/// ```
#[derive(Debug, Clone)]
pub struct VersionJudge<R = RouteName> {
    options: JudgeOptions,
    alarm_wealth: f64,
    routes: BTreeMap<R, RouteTests>,
    overall: RouteTests,
}

/// Verdict of the canary judge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JudgeVerdict {
    /// The new version is worse than tolerated; holds the evidence in one line.
    Bad(String),
    /// Harm is ruled out over all routes and on each route with at least
    /// [`warm_up`](JudgeOptions::warm_up) samples of the old version; holds the evidence in one
    /// line.
    Good(String),
    /// The evidence is not sufficient for either verdict yet.
    Undecided,
}

/// Counts and tests of one route, or of all routes together.
#[derive(Debug, Clone)]
struct RouteTests {
    old: SampleBatch,
    new: SampleBatch,
    /// The old version's recent failure rate, so that a fault that affects both versions does not
    /// count against the new one.
    recent_failure: f64,
    /// The old version's recent rate of slow answers, for the same reason.
    recent_slow: f64,
    excess_failures: BettingTest,
    excess_slow: BettingTest,
    harmless_failures: BettingTest,
    harmless_slow: BettingTest,
}

impl RouteTests {
    fn new() -> Self {
        Self {
            old: SampleBatch::default(),
            new: SampleBatch::default(),
            recent_failure: 0.0,
            recent_slow: 0.0,
            excess_failures: BettingTest::restarting(),
            excess_slow: BettingTest::restarting(),
            harmless_failures: BettingTest::cumulative(),
            harmless_slow: BettingTest::cumulative(),
        }
    }

    fn add_old(&mut self, batch: &SampleBatch) {
        self.old.add(batch);
        update_rate(&mut self.recent_failure, batch.count, batch.failures);
        update_rate(&mut self.recent_slow, batch.timed, batch.slow);
    }

    /// Returns the old version's failure rate, smoothed so that it is not zero after few samples.
    fn old_failure_rate(&self) -> f64 {
        let overall = (self.old.failures as f64 + 0.5) / (self.old.count as f64 + 1.0);
        overall.max(self.recent_failure)
    }

    /// Returns the old version's rate of slow answers, smoothed towards the expected rate.
    fn old_slow_rate(&self, options: &JudgeOptions) -> f64 {
        let expected = 1.0 - options.slow_quantile;
        /// Number of samples that the expected rate counts as. The threshold is the old version's
        /// own quantile, so its rate of slow answers is near the expected one.
        const PRIOR_SAMPLES: f64 = 50.0;
        let overall = (self.old.slow as f64 + PRIOR_SAMPLES * expected)
            / (self.old.timed as f64 + PRIOR_SAMPLES);
        overall.max(self.recent_slow)
    }

    fn add_new(&mut self, options: &JudgeOptions, batch: &SampleBatch) {
        let (failure, slow) = (self.old_failure_rate(), self.old_slow_rate(options));
        let SampleBatch { count, failures, slow: slow_count, timed } = *batch;
        self.new.add(batch);
        self.excess_failures.add(failure + options.failure_tolerance, count, failures);
        self.excess_slow.add(slow + options.slow_tolerance, timed, slow_count);
        // The reverse hypotheses: the rate of failed or slow answers is at least the harmful one.
        // Their events are the answers that did not fail or were not slow.
        let harmless_rate = 1.0 - (failure + options.failure_harm);
        self.harmless_failures.add(harmless_rate, count, count - failures);
        let harmless_rate = 1.0 - (slow + options.slow_harm);
        self.harmless_slow.add(harmless_rate, timed, timed - slow_count);
    }

    /// Adds samples of the new version. They are tested only if there are enough of the old version:
    /// a route with too few is judged only in the overall tests.
    fn add_new_if_known(&mut self, options: &JudgeOptions, batch: &SampleBatch) {
        match self.old.count >= options.warm_up {
            true => self.add_new(options, batch),
            false => self.new.add(batch),
        }
    }

    fn evidence(&self, name: &str) -> String {
        let rate = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        let (old, new) = (&self.old, &self.new);
        format!(
            "{name}: new {} answers, {:.1}% failed, {:.1}% slow; old {} answers, {:.1}% failed, \
             {:.1}% slow",
            new.count,
            rate(new.failures, new.count),
            rate(new.slow, new.timed),
            old.count,
            rate(old.failures, old.count),
            rate(old.slow, old.timed),
        )
    }
}

impl<R: Ord + Clone + Display> VersionJudge<R> {
    /// Creates a judge for a pool that serves `routes` routes.
    #[must_use]
    pub fn new(options: JudgeOptions, routes: usize) -> Self {
        // The false alarm probability is divided among two tests per route and two over all routes
        // (Bonferroni correction), and among all batches.
        let tests = 2.0 * (routes as f64 + 1.0);
        let alarm_wealth = options.batches * tests / options.false_alarm;
        Self { options, alarm_wealth, routes: BTreeMap::new(), overall: RouteTests::new() }
    }

    /// Creates a judge of the total counts of both versions, by route: the old version's first.
    ///
    /// The old version's rates are those over all of its samples, so both versions must have been
    /// counted over the same time.
    ///
    /// ```
    /// use kwg_decide::{JudgeOptions, JudgeVerdict, SampleBatch, VersionJudge};
    ///
    /// let old = SampleBatch { count: 500, timed: 500, slow: 50, ..SampleBatch::default() };
    /// let new = SampleBatch { count: 60, timed: 60, slow: 36, ..SampleBatch::default() };
    /// let judge = VersionJudge::from_totals(JudgeOptions::default(), [("labels", old, new)]);
    /// assert!(!matches!(judge.verdict(), JudgeVerdict::Good(_)));
    /// ```
    #[must_use]
    pub fn from_totals(
        options: JudgeOptions,
        totals: impl IntoIterator<Item = (R, SampleBatch, SampleBatch)>,
    ) -> Self {
        let totals: Vec<_> = totals.into_iter().collect();
        let mut judge = Self::new(options, totals.len());
        let mut overall = SampleBatch::default();
        for (route, old, new) in &totals {
            let tests = judge.route_tests(route);
            tests.old.add(old);
            tests.add_new_if_known(&options, new);
            judge.overall.old.add(old);
            overall.add(new);
        }
        judge.overall.add_new_if_known(&options, &overall);
        judge
    }

    /// Adds samples of the old version.
    pub fn add_old(&mut self, route: &R, batch: &SampleBatch) {
        self.route_tests(route).add_old(batch);
        self.overall.add_old(batch);
    }

    /// Adds samples of the new version.
    pub fn add_new(&mut self, route: &R, batch: &SampleBatch) {
        let options = self.options;
        self.route_tests(route).add_new_if_known(&options, batch);
        self.overall.add_new_if_known(&options, batch);
    }

    /// Returns the number of answers of the new version in the overall tests.
    #[must_use]
    pub fn new_count(&self) -> u64 {
        self.overall.new.count
    }

    /// Returns the verdict on the evidence so far.
    #[must_use]
    pub fn verdict(&self) -> JudgeVerdict {
        let named = self.routes.iter().map(|(route, tests)| (route.to_string(), tests));
        let all_tests = named.chain([("all routes".to_owned(), &self.overall)]);
        let is_bad = |tests: &RouteTests| {
            tests.excess_failures.wealth() >= self.alarm_wealth
                || tests.excess_slow.wealth() >= self.alarm_wealth
        };
        if let Some((name, tests)) = all_tests.clone().find(|(_, tests)| is_bad(tests)) {
            return JudgeVerdict::Bad(tests.evidence(&name));
        }
        let proof_wealth = self.proof_wealth();
        let is_proven = |tests: &RouteTests| {
            tests.harmless_failures.wealth() >= proof_wealth
                && tests.harmless_slow.wealth() >= proof_wealth
        };
        if self.holds_throughout(is_proven) {
            return JudgeVerdict::Good(self.overall.evidence("all routes"));
        }
        JudgeVerdict::Undecided
    }

    /// Returns whether a harmful increase in failures is ruled out, over all routes and on each route with
    /// at least [`warm_up`](JudgeOptions::warm_up) samples of the old version.
    ///
    /// ```
    /// use kwg_decide::{JudgeOptions, SampleBatch, VersionJudge};
    ///
    /// let old = SampleBatch { count: 500, failures: 5, ..SampleBatch::default() };
    /// let rules_out = |failures| {
    ///     let new = SampleBatch { count: 60, failures, ..SampleBatch::default() };
    ///     VersionJudge::from_totals(JudgeOptions::default(), [("labels", old, new)]).rules_out_failures()
    /// };
    /// assert!(rules_out(0));
    /// assert!(!rules_out(6));
    /// ```
    #[must_use]
    pub fn rules_out_failures(&self) -> bool {
        let proof_wealth = self.proof_wealth();
        self.holds_throughout(|tests| tests.harmless_failures.wealth() >= proof_wealth)
    }

    fn proof_wealth(&self) -> f64 {
        1.0 / self.options.false_acceptance
    }

    /// Whether a condition holds over all routes, and on each route that is judged by itself.
    fn holds_throughout(&self, holds: impl Fn(&RouteTests) -> bool) -> bool {
        let is_judged = |tests: &&RouteTests| tests.old.count >= self.options.warm_up;
        self.routes.values().filter(is_judged).all(&holds) && holds(&self.overall)
    }

    fn route_tests(&mut self, route: &R) -> &mut RouteTests {
        self.routes.entry(route.clone()).or_insert_with(RouteTests::new)
    }
}

/// Updates an exponentially weighted rate with a batch of samples.
fn update_rate(rate: &mut f64, count: u64, events: u64) {
    /// Number of samples over which the weight of an old one decays by a factor of e.
    const DECAY_SAMPLES: f64 = 50.0;
    if count > 0 {
        let weight = 1.0 - (-(count as f64) / DECAY_SAMPLES).exp();
        *rate += weight * (events as f64 / count as f64 - *rate);
    }
}
