use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use kwg_model::MonoTime;

use crate::ServiceName;

/// Share of the budget that may be used. The rest covers windows that start at different times on
/// different instances.
const USABLE_SHARE: f64 = 0.8;
/// Length of the intervals in which requests and retries are counted.
const INTERVAL: Duration = Duration::from_millis(500);

/// Retry budget of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, over all instances.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetOptions {
    /// 0.2 retries per request and 50 more per window of 10 s.
    fn default() -> Self {
        Self { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) }
    }
}

/// Counts requests and retries per service and decides whether one more retry is allowed.
///
/// Each instance uses only the budget of its own requests and its share of the extra retries, so
/// the sum stays within the budget without any messages.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    services: HashMap<ServiceName, VecDeque<BudgetInterval>>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetInterval {
    start: MonoTime,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without counts.
    #[must_use]
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, services: HashMap::new() }
    }

    /// Changes the budget; the counts are kept.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.options = options;
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &ServiceName, now: MonoTime) {
        self.interval(service, now).requests += 1;
    }

    /// Whether this instance's share of the budget among `instances` instances allows one more
    /// retry.
    #[must_use]
    pub fn has_room(&self, service: &ServiceName, instances: u32, now: MonoTime) -> bool {
        let window = self.options.window;
        let intervals = self.services.get(service).into_iter().flatten();
        let intervals = intervals.filter(|interval| now.since(interval.start) <= window);
        let (requests, retries) = intervals.fold((0, 0), |(requests, retries), interval| {
            (requests + interval.requests, retries + interval.retries)
        });
        let extra = self.options.extra / f64::from(instances.max(1));
        let allowed = USABLE_SHARE * (self.options.ratio * f64::from(requests) + extra);
        f64::from(retries) + 1.0 <= allowed
    }

    /// Takes one retry from the budget, if [`Self::has_room`].
    pub fn take(&mut self, service: &ServiceName, instances: u32, now: MonoTime) -> bool {
        let is_allowed = self.has_room(service, instances, now);
        if is_allowed {
            self.interval(service, now).retries += 1;
        }
        is_allowed
    }

    /// Counts a retry that was taken at `taken` as one of now, because it is sent only now; returns
    /// whether the budget allows it. A retry that left the window meanwhile is taken anew.
    pub fn renew(
        &mut self,
        service: &ServiceName,
        taken: MonoTime,
        instances: u32,
        now: MonoTime,
    ) -> bool {
        let window = self.options.window;
        let intervals = self.services.get_mut(service).into_iter().flatten();
        let in_window = intervals.filter(|interval| now.since(interval.start) <= window);
        match in_window.filter(|interval| interval.start <= taken).last() {
            Some(interval) => {
                interval.retries = interval.retries.saturating_sub(1);
                self.interval(service, now).retries += 1;
                true
            }
            None => self.take(service, instances, now),
        }
    }

    fn interval(&mut self, service: &ServiceName, now: MonoTime) -> &mut BudgetInterval {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let intervals = self.services.get_mut(service).expect("just inserted");
        let window = self.options.window;
        while intervals.front().is_some_and(|interval| now.since(interval.start) > window) {
            intervals.pop_front();
        }
        if intervals.back().is_none_or(|interval| now.since(interval.start) >= INTERVAL) {
            intervals.push_back(BudgetInterval { start: now, requests: 0, retries: 0 });
        }
        intervals.back_mut().expect("just pushed")
    }
}
