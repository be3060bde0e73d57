mod target_words;
mod version_targets;

use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;
use slotmap::{SlotMap, new_key_type};

use self::version_targets::part_place;
use super::departed_targets::DepartedTargets;
use super::draw_sequence::DrawSequence;
use super::placement;
use super::slot_share::SlotShare;
use super::target_state::TargetState;
use crate::{
    AttemptSample, DomainMap, GateDigest, InstanceMap, Placement, PlacementDecision,
    PlacementQuery, TargetCode, TargetEntry, TargetId, TargetRegistry, TargetReport, TargetRun,
};

/// Upper bound of the random amount added to the cost of a target at which this instance owns an
/// idle slot: less than the cost of one more slot in use in a batch.
const OWNED_JITTER: f64 = 0.01;
/// The same for a target at which it owns no idle slot: about the cost of a few more slots in use.
const BORROWED_JITTER: f64 = 0.15;

new_key_type! {
    /// Identifies one run of a target in the tracker.
    pub struct TargetKey;
}

/// The assumed state of all targets.
#[derive(Debug, Clone, Default)]
pub struct TargetTracker {
    domains: DomainMap,
    instances: InstanceMap,
    targets: SlotMap<TargetKey, TargetState>,
    ids: HashMap<TargetId, TargetKey>,
    codes: HashMap<TargetCode, TargetKey>,
    departed: DepartedTargets,
}

impl TargetTracker {
    /// Creates a tracker without targets for an instance in the domain `domains.own`.
    #[must_use]
    pub fn new(domains: DomainMap) -> Self {
        Self { domains, ..Self::default() }
    }

    /// Synchronizes the targets with the registry; returns those that were removed from it.
    pub fn sync(&mut self, registry: &TargetRegistry) -> Vec<TargetKey> {
        for entry in registry.entries() {
            let known = self.ids.get(&entry.id).and_then(|key| self.targets.get_mut(*key));
            match known {
                // A new run under an old name starts without what is known of the old run.
                Some(state) if state.entry.is_same_run(entry) => {
                    state.entry = entry.clone();
                    state.standing.record_entry(entry.is_draining);
                }
                _ => {
                    let key = self.targets.insert(TargetState::new(entry.clone()));
                    self.codes.insert(TargetCode::of(entry.id.as_str()), key);
                    if let Some(before) = self.ids.insert(entry.id.clone(), key) {
                        self.remove(before);
                    }
                }
            }
        }
        let removed: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, state)| registry.get(&state.entry.id).is_none())
            .map(|(key, _)| key)
            .collect();
        for key in &removed {
            if let Some(entry) = self.remove(*key) {
                self.ids.remove(&entry.id);
                self.codes.remove(&TargetCode::of(entry.id.as_str()));
            }
        }
        self.allocate_slots();
        removed
    }

    fn remove(&mut self, key: TargetKey) -> Option<TargetEntry> {
        let TargetState { entry, standing, .. } = self.targets.remove(key)?;
        // Whether it leaves does not depend on the time, as a pause does.
        let was_leaving = standing.is_leaving(MonoTime::ZERO);
        self.departed.push(key, entry.clone(), was_leaving);
        Some(entry)
    }

    /// Whether a target is gone that was not known to leave.
    pub(crate) fn has_vanished(&self, key: TargetKey) -> bool {
        self.departed.has_vanished(key)
    }

    /// Names of the targets that are known, or have been until lately, by their runs.
    pub(crate) fn names_by_run(&self) -> HashMap<TargetRun, &TargetId> {
        let known = self.targets.values().map(|state| &state.entry);
        let entries = known.chain(self.departed.entries());
        entries.map(|entry| (TargetRun::of_entry(entry), &entry.id)).collect()
    }

    /// The entry of a target that is known, or has been until lately.
    pub(crate) fn last_entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.entry(key).or_else(|| self.departed.entry(key))
    }

    /// All targets.
    pub(crate) fn keys(&self) -> impl Iterator<Item = TargetKey> {
        self.targets.keys()
    }

    /// The entry of a target, if it is known.
    #[must_use]
    pub fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key).map(|state| &state.entry)
    }

    /// Chooses the target with the lowest cost among those with a slot that this instance may take.
    /// Targets of earlier attempts are excluded, and paused ones unless all are paused. `draw` is a
    /// random number in [0, 1).
    #[must_use]
    pub fn place(&self, query: &PlacementQuery<'_>, now: MonoTime, draw: f64) -> PlacementDecision {
        let fits = |state: &TargetState| {
            state.entry.service.as_str() == query.service
                && !state.standing.is_leaving(now)
                && query.version.admits(&state.entry.version)
        };
        let last = self.last_of_part(query.version, fits, now);
        let untried = |(key, state): &(TargetKey, &TargetState)| {
            fits(state)
                && !query.tried.contains(key)
                && last.is_none_or(|last| part_place(state, now) <= last)
        };
        let candidates = || self.targets.iter().filter(untried);
        let takes_requests = |(_, state): &(TargetKey, &TargetState)| state.takes_requests(now);
        let open = || candidates().filter(takes_requests);
        let accepts = |state: &TargetState| state.health.accepts_requests(now);
        let any_accepts = open().any(|(_, state)| accepts(state));
        // If every target is suspected of a fault, the best of them is still better than a refusal.
        let accepting = open().filter(|(_, state)| !any_accepts || accepts(state));
        let load_limit = self.load_limit(query, now);
        let has_capacity = |(_, state): &(TargetKey, &TargetState)| {
            let is_local = state.entry.domain == self.domains.own;
            match (query.on_engine, load_limit) {
                // A few targets would reach the limit too late if each instance used its own slots only.
                (true, Some(limit)) => state.load() < limit.min(state.entry.slots),
                (true, None) => state.has_capacity(query.is_contended, is_local),
                (false, limit) => {
                    limit.is_none_or(|limit| state.load() < limit)
                        && state.is_served_in_time(query.target_latency)
                }
            }
        };
        let with_capacity: Vec<_> = accepting.filter(has_capacity).collect();
        match self.cheapest(with_capacity.into_iter(), query, now, draw) {
            Some(placement) => PlacementDecision::Send(placement),
            None if candidates().next().is_none() => PlacementDecision::NoTarget,
            None => PlacementDecision::Full,
        }
    }

    /// Shortest expected time until the first event, or until the answer, if a slot were free, over
    /// all targets of the service that are not draining. Their version, health and earlier attempts
    /// are ignored. 1000 s if there is no such target.
    #[must_use]
    pub fn best_expected(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Duration {
        self.shortest(query, now, |state| {
            placement::work_ms(state, query, self.domains.distance(&state.entry.domain))
        })
    }

    /// The expected time at a chosen target. A target without measurements is taken to be no quicker
    /// than the quickest one of its service that has some.
    pub(crate) fn cautious_expected(
        &self,
        query: &PlacementQuery<'_>,
        placement: &Placement,
        now: MonoTime,
    ) -> Duration {
        let is_measured = |state: &TargetState| state.is_measured(query.on_engine);
        let fits = |state: &&TargetState| {
            state.entry.service.as_str() == query.service && !state.standing.is_leaving(now)
        };
        let has_measured = self.targets.values().filter(fits).any(is_measured);
        if !has_measured || self.targets.get(placement.target).is_none_or(is_measured) {
            return placement.expected;
        }
        let quickest = self.shortest(query, now, |state| match is_measured(state) {
            true => placement::work_ms(state, query, self.domains.distance(&state.entry.domain)),
            false => f64::INFINITY,
        });
        quickest.max(placement.expected)
    }

    /// Expected time until the end of the answer, of the most tokens that it may have, at one target; none
    /// if that is gone.
    pub(crate) fn expected_answer(&self, query: &PlacementQuery<'_>, key: TargetKey) -> Duration {
        let expected = self.targets.get(key).map(|state| {
            placement::answer_ms(state, query, self.domains.distance(&state.entry.domain))
        });
        Duration::from_secs_f64(expected.unwrap_or(0.0).min(1e6) / 1e3)
    }

    /// Shortest expected time until the end of the answer, of the most tokens that it may have; as
    /// [`Self::best_expected`] otherwise.
    #[must_use]
    pub fn best_answer(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Duration {
        self.shortest(query, now, |state| {
            placement::answer_ms(state, query, self.domains.distance(&state.entry.domain))
        })
    }

    fn shortest(
        &self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
        time_ms: impl Fn(&TargetState) -> f64,
    ) -> Duration {
        let states = self.targets.values().filter(|state| {
            state.entry.service.as_str() == query.service && !state.standing.is_leaving(now)
        });
        let shortest = states.map(time_ms).fold(f64::INFINITY, f64::min);
        Duration::from_secs_f64(shortest.min(1e6) / 1e3)
    }

    fn cheapest<'a>(
        &self,
        candidates: impl Iterator<Item = (TargetKey, &'a TargetState)>,
        query: &PlacementQuery<'_>,
        now: MonoTime,
        draw: f64,
    ) -> Option<Placement> {
        let mut best: Option<(f64, Placement)> = None;
        for (index, (key, state)) in candidates.enumerate() {
            let (cost, expected) = placement::cost(state, query, &self.domains, now);
            // The jitter keeps instances that see the same reports from choosing the same target.
            // There is more of it if another instance owns the slot.
            let jitter = if state.has_idle_owned_slot() { OWNED_JITTER } else { BORROWED_JITTER };
            let cost = cost + jitter * (draw * 7_919.0 * (index as f64 + 1.0)).fract();
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                let placement = Placement {
                    target: key,
                    expected: Duration::from_secs_f64(expected / 1e3),
                    load: state.load(),
                    load_age: state.load_age(now),
                    known_ends: 0,
                    chosen: now,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Number of free slots of a service that this instance may take.
    #[must_use]
    pub fn free_slots(&self, service: &str, now: MonoTime) -> u32 {
        let of_service = |state: &&TargetState| state.entry.service.as_str() == service;
        let targets = self.targets.values().filter(of_service);
        targets.filter(|state| state.takes_requests(now)).map(TargetState::usable_slots).sum()
    }

    /// The live instances.
    pub(crate) fn instances(&self) -> &InstanceMap {
        &self.instances
    }

    /// Updates the live instances and reallocates all slots among them.
    pub fn set_instances(&mut self, instances: &InstanceMap) {
        self.instances = instances.clone();
        self.allocate_slots();
    }

    /// Claims this instance's share of the slots that their owners leave idle, until the next
    /// reports. `share` returns this instance's share for a service. `has_waiting` returns whether
    /// requests wait at a peer for a service, or `None` if that is unknown.
    pub fn claim_slots(
        &mut self,
        share: impl Fn(&str) -> f64,
        has_waiting: impl Fn(&str, &str) -> Option<bool>,
        draw: f64,
        now: MonoTime,
    ) {
        let mut draws = DrawSequence(draw);
        for state in self.targets.values_mut() {
            let service = state.entry.service.as_str();
            let is_local = state.entry.domain == self.domains.own;
            let lendable = state.lendable_slots(|peer| has_waiting(peer, service), is_local);
            let share = share(service) * state.claim_rate(now);
            state.share.refresh(lendable, share, draws.next());
        }
    }

    fn allocate_slots(&mut self) {
        let domains = &self.domains;
        for state in self.targets.values_mut() {
            let entry = &state.entry;
            let owners = self.instances.owners(&entry.domain, |a, b| domains.share_region(a, b));
            let allocated = SlotShare::allocate(entry.id.as_str(), entry.slots, &owners);
            state.set_owners(allocated, &self.instances.own);
        }
    }

    /// Counts an attempt that is about to be sent.
    pub fn begin_attempt(&mut self, key: TargetKey, prompt_tokens: u64) {
        if let Some(state) = self.targets.get_mut(key) {
            state.share.record_taken(state.running);
            state.running += 1;
            state.unread_tokens += prompt_tokens;
            state.health.record_sent();
        }
    }

    /// Records that the prompt of an attempt has been read, because its first event has arrived or
    /// it has ended.
    pub fn record_prompt_read(&mut self, key: TargetKey, prompt_tokens: u64) {
        if let Some(state) = self.targets.get_mut(key) {
            state.unread_tokens = state.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records that an attempt no longer occupies a slot of the target.
    pub fn end_attempt(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.running = state.running.saturating_sub(1);
            state.share.record_released(state.running);
            state.health.record_no_evidence();
        }
    }

    /// Records a successful attempt with its measurements.
    pub fn record_success(&mut self, key: TargetKey, sample: &AttemptSample, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.good += 1;
            state.health.record_success(now);
            state.standing.record_success(state.entry.slots);
            state.add_sample(sample);
        }
    }

    /// Records an attempt that the target failed.
    pub fn record_failure(&mut self, key: TargetKey, now: MonoTime) {
        if let Some(state) = self.targets.get_mut(key) {
            state.bad += 1;
            state.health.record_failure(now);
        }
    }

    /// Records how many idle connections to a target there are.
    pub fn record_idle_connections(&mut self, key: TargetKey, count: usize) {
        if let Some(state) = self.targets.get_mut(key) {
            state.idle_connections = u32::try_from(count).unwrap_or(u32::MAX);
        }
    }

    /// Applies the digest of a peer. Targets that it does not contain are unused there.
    /// Returns the targets that were found to leave by the peer's word.
    pub fn apply_digest(
        &mut self,
        peer: &str,
        digest: &GateDigest,
        now: MonoTime,
    ) -> Vec<TargetKey> {
        let reports: HashMap<TargetKey, TargetReport> = digest
            .targets
            .iter()
            .filter_map(|(code, report)| Some((*self.codes.get(code)?, *report)))
            .collect();
        let mut leaving = Vec::new();
        for (key, state) in &mut self.targets {
            let was_leaving = state.standing.is_leaving(now);
            state.apply_report(peer, reports.get(&key).copied(), now);
            if !was_leaving && state.standing.is_leaving(now) {
                leaving.push(key);
            }
        }
        leaving
    }

    /// Drops all reports of a peer.
    pub fn drop_peer(&mut self, peer: &str) {
        self.targets.values_mut().for_each(|state| state.drop_report(peer));
    }

    /// Reports of this instance on the targets that it has used, for its peers.
    #[must_use]
    pub fn reports(&self) -> Vec<(TargetCode, TargetReport)> {
        let report =
            |state: &TargetState| (TargetCode::of(state.entry.id.as_str()), state.report());
        let reports = self.targets.values().map(report);
        reports.filter(|(_, report)| *report != TargetReport::default()).collect()
    }
}
