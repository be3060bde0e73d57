use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::target_capacity::PauseFit;
use crate::target::target_speed::PRIOR_STEP_MS;
use crate::target::target_state::TargetState;
use crate::{AttemptSample, ServiceName, SpeedReading, StreamPromise, TargetKey};

/// Share of a service's slots from which on targets that keep no pause at any load still take requests in all of their
/// slots: the others could not serve what those leave to them.
const MOST_HOPELESS: f64 = 0.5;

/// Sums over the targets of a service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceSums {
    step_ms: f64,
    weight: f64,
    slots: u32,
    hopeless_slots: u32,
}

impl TargetTracker {
    /// Sets what the streams of each service promise.
    pub fn set_promises(&mut self, promises: impl Iterator<Item = (ServiceName, StreamPromise)>) {
        self.promises = promises.collect();
    }

    /// Records how long the first event of a stream took, which shows how fast the target reads prompts.
    pub fn record_reading(
        &mut self,
        key: TargetKey,
        prompt_tokens: u64,
        event_tokens: f64,
        sample: &AttemptSample,
        now: MonoTime,
    ) {
        if let (Some(state), Some(first)) = (self.targets.get_mut(key), sample.first_event) {
            let round_trip = self.domains.distance(&state.entry.domain).round_trip();
            let first_ms = first.saturating_sub(round_trip).as_secs_f64() * 1e3;
            state.speed.add_reading(prompt_tokens, first_ms, event_tokens, now);
            state.pool_speed(now);
        }
    }

    /// Records that a stream which still runs has made `events` more events within `span`.
    pub fn record_pace(&mut self, key: TargetKey, events: u64, span: Duration, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key)
            && let Some(promise) = self.promises.get(&state.entry.service)
        {
            state.speed.add_pace(events as f64 * promise.event_tokens, span, now);
            state.pool_speed(now);
        }
    }

    /// What is learned of each target's speed.
    pub fn speeds(&self, now: MonoTime) -> impl Iterator<Item = SpeedReading<'_>> {
        self.targets.values().map(move |state| SpeedReading::new(state, now))
    }

    /// Fades the evidence, and derives from it how many requests each target takes.
    pub(super) fn refresh_speeds(&mut self, now: MonoTime) {
        let mut services: HashMap<ServiceName, ServiceSums> = HashMap::new();
        let mut fits = Vec::with_capacity(self.targets.len());
        for state in self.targets.values_mut() {
            state.speed.fade(now);
            state.pool_speed(now);
            let load = state.load();
            let fit = state.speed.observe(load, self.promises.get(&state.entry.service));
            let figures = state.speed.figures();
            let weight = figures.step_weight.min(1.0);
            if !services.contains_key(&state.entry.service) {
                services.insert(state.entry.service.clone(), ServiceSums::default());
            }
            if let Some(sums) = services.get_mut(&state.entry.service) {
                sums.step_ms += figures.step_ms * weight;
                sums.weight += weight;
                sums.slots += state.entry.slots;
                sums.hopeless_slots +=
                    if fit == Some(PauseFit::Never) { state.entry.slots } else { 0 };
            }
            fits.push(fit);
        }
        for (state, fit) in self.targets.values_mut().zip(fits) {
            let sums = services.get(&state.entry.service).copied().unwrap_or_default();
            state.speed.set_prior((sums.step_ms + PRIOR_STEP_MS) / (sums.weight + 1.0));
            let are_hopeless =
                f64::from(sums.hopeless_slots) >= MOST_HOPELESS * f64::from(sums.slots);
            let fit = fit.filter(|fit| *fit != PauseFit::Never || !are_hopeless);
            state.speed.follow(fit, state.entry.slots);
        }
    }
}

impl TargetState {
    /// Computes the figures of the target's speed from the present reports.
    pub(crate) fn pool_speed(&mut self, now: MonoTime) {
        let reports = self.reports.values().map(|(at, report)| (report, now.since(*at)));
        self.speed.pool(reports);
    }
}
