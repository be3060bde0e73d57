use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use kwg_model::MonoTime;

use crate::ServiceName;

/// Part of the budget that is spent: the rest covers windows that two instances see differently.
const SPENT_PART: f64 = 0.8;
/// Counts are kept in slots of this length.
const SLOT: Duration = Duration::from_millis(500);

/// What all instances together may spend on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, in a window, over all instances.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl Default for RetryBudgetOptions {
    /// The figures of the brief's operators.
    fn default() -> Self {
        Self { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) }
    }
}

/// Counts requests and repeats for each service, and says whether one more repeat is allowed.
///
/// Each instance spends from its own requests and its part of the extra, so that no message is
/// needed and the sum stays within the budget.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    services: HashMap<ServiceName, VecDeque<BudgetSlot>>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetSlot {
    start: MonoTime,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// An unspent budget.
    #[must_use]
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self { options, services: HashMap::new() }
    }

    /// Changes what may be spent.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.options = options;
    }

    /// Counts a request.
    pub fn note_request(&mut self, service: &ServiceName, now: MonoTime) {
        self.slot(service, now).requests += 1;
    }

    /// Takes one repeat, if the budget of one of `instances` instances still holds it.
    pub fn take(&mut self, service: &ServiceName, instances: u32, now: MonoTime) -> bool {
        self.slot(service, now);
        let slots = &self.services[service];
        let requests: u32 = slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = slots.iter().map(|slot| slot.repeats).sum();
        let extra = self.options.extra / f64::from(instances.max(1));
        let allowed = SPENT_PART * (self.options.ratio * f64::from(requests) + extra);
        let is_allowed = f64::from(repeats) + 1.0 <= allowed;
        if is_allowed {
            self.slot(service, now).repeats += 1;
        }
        is_allowed
    }

    fn slot(&mut self, service: &ServiceName, now: MonoTime) -> &mut BudgetSlot {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slots = self.services.get_mut(service).expect("just inserted");
        let window = self.options.window;
        while slots.front().is_some_and(|slot| now.since(slot.start) > window) {
            slots.pop_front();
        }
        if slots.back().is_none_or(|slot| now.since(slot.start) >= SLOT) {
            slots.push_back(BudgetSlot { start: now, requests: 0, repeats: 0 });
        }
        slots.back_mut().expect("just pushed")
    }
}
