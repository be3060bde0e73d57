use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::TargetTracker;
use crate::target::cold_fleet::ColdFleet;
use crate::target::cold_view::ColdView;
use crate::target::target_state::TargetState;
use crate::{ColdChange, ColdOptions, ColdRule, PlacementQuery, ServiceName, TargetKey};

/// Fewest instances among which the owners of a cold target are chosen. Most instances have 8 to 11 requests a second of
/// their own, so that fewer could not use the rate of all targets of a failure domain that returns.
const FEWEST_OWNERS: usize = 7;

impl TargetTracker {
    /// Applies the rules of the services whose cold targets are limited.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        self.cold.rules = rules;
        self.place_cold();
    }

    /// Applies how far the rate of cold targets may be exceeded.
    pub fn set_cold_options(&mut self, options: ColdOptions) {
        self.cold.options = options;
        self.place_cold();
    }

    /// Applies how much of the fleet the instance is in touch with, and makes shares usable that it has gained.
    pub(crate) fn refresh_cold(&mut self, view: ColdView, now: MonoTime) {
        if self.cold.refresh(view, now) {
            self.share_cold();
        }
        self.targets.values_mut().for_each(|state| state.cold.settle(now));
    }

    /// Computes the places of this instance among the owners of all targets.
    pub(super) fn place_cold(&mut self) {
        let (domains, cold) = (&self.domains, &self.cold);
        for state in self.targets.values_mut() {
            let rule = cold.rules.get(&state.entry.service).copied();
            let was_new = state.cold.is_new();
            if rule.is_none() {
                state.cold.set_place(None, None, 0);
                continue;
            }
            let domain = &state.entry.domain;
            let is_near = |a: &str, b: &str| domains.share_region(a, b);
            let owners = self.instances.owners_of_least(FEWEST_OWNERS, domain, is_near);
            let rank = ColdFleet::rank(state.entry.id.as_str(), &owners, &self.instances.own);
            let count = u32::try_from(owners.len()).unwrap_or(u32::MAX);
            state.cold.set_place(rule, rank, count);
            let shares = |rule: &ColdRule| cold.options.shares(rule, &cold.view);
            state.cold.set_shares(shares, was_new && cold.is_settled());
        }
    }

    fn share_cold(&mut self) {
        let cold = &self.cold;
        for state in self.targets.values_mut() {
            state.cold.set_shares(|rule| cold.options.shares(rule, &cold.view), false);
        }
    }

    /// Number of requests that this instance may send to cold targets of a service in some regions now.
    #[must_use]
    pub fn cold_room(&self, service: &str, regions: Option<&[String]>, now: MonoTime) -> u32 {
        let open = |state: &&TargetState| {
            state.is_cold(now)
                && state.takes_requests(now)
                && self.domains.is_within(&state.entry.domain, regions)
        };
        let idle = |state: &TargetState| state.entry.slots.saturating_sub(state.load());
        let room = |state: &TargetState| state.cold.room(now).min(idle(state));
        self.staying(service, now).filter(open).map(room).sum()
    }

    /// Whether a cold target that may serve a request gets none now because of its rate.
    pub(crate) fn passes_over_cold(&self, query: &PlacementQuery<'_>, now: MonoTime) -> bool {
        !self.cold.rules.is_empty()
            && self.staying(query.service, now).any(|state| {
                state.is_cold(now) && state.cold.room(now) == 0 && self.is_allowed(state, query)
            })
    }

    /// Number of targets that are cold.
    #[must_use]
    pub fn cold_count(&self, now: MonoTime) -> usize {
        self.targets.values().filter(|state| state.is_cold(now)).count()
    }

    /// Whether a target is cold.
    #[must_use]
    pub fn is_cold(&self, key: TargetKey, now: MonoTime) -> bool {
        self.targets.get(key).is_some_and(|state| state.is_cold(now))
    }

    /// Whether a request that has a place at a target may be sent there as far as its rate goes.
    pub(crate) fn is_within_rate(&self, key: TargetKey, now: MonoTime) -> bool {
        let is_within = |state: &TargetState| !state.is_cold(now) || state.cold.is_within(now);
        self.targets.get(key).is_some_and(is_within)
    }

    /// Whether a target has said since a request was placed there that it is cold, so that the request may be withheld.
    pub(crate) fn turned_cold(&self, key: TargetKey, chosen: MonoTime, now: MonoTime) -> bool {
        self.targets.get(key).is_some_and(|state| {
            state.is_cold(now) && state.cold.turned_cold_after(&state.entry.cold, chosen)
        })
    }

    /// The targets that have become cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: MonoTime) -> Vec<ColdChange> {
        let change = |state: &mut TargetState| {
            let notice = &state.entry.cold;
            state.cold.take_change(notice, now).then(|| ColdChange {
                target: state.entry.id.clone(),
                left: state.cold.cold_until(notice, now).map(|until| until.since(now)),
                share: state.cold.share(),
                is_suspected: state.cold.is_suspected(notice, now),
            })
        };
        self.targets.values_mut().filter_map(change).collect()
    }

    /// Records that a request of [`Self::begin_attempt`] is sent now; returns whether its target is cold.
    pub fn record_sent(&mut self, key: TargetKey, now: MonoTime) -> bool {
        self.targets.get_mut(key).is_some_and(|state| {
            state.cold.record_sent(now);
            state.is_cold(now)
        })
    }

    /// Records that a request of [`Self::begin_attempt`] will not be sent.
    pub fn record_unsent(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.cold.record_unsent();
        }
    }

    /// Records that a connection to a target broke or could not be opened: it may have started again.
    pub fn record_break(&mut self, key: TargetKey, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.cold.record_break(now);
        }
    }

    /// Records that a target says in a reply how much longer it is cold.
    pub fn record_cold(&mut self, key: TargetKey, left: Duration, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.cold.record_told(left, now);
        }
    }
}
