mod cold_targets;
mod evacuation;
mod explained_targets;
mod home_regions;
mod slot_allocation;
mod speed_tracking;
mod target_choice;
mod target_words;
mod version_targets;

use std::collections::HashMap;

use kwg_model::MonoTime;
use slotmap::{SlotMap, new_key_type};

use super::cold_fleet::ColdFleet;
use super::departed_targets::DepartedTargets;
use super::target_state::TargetState;
use crate::{
    AttemptSample, DomainMap, EvacuatedDomains, GateDigest, InstanceMap, ServiceName,
    StreamPromise, TargetCode, TargetEntry, TargetId, TargetRegistry, TargetReport, TargetRun,
};

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
    /// What the streams of each service promise.
    promises: HashMap<ServiceName, StreamPromise>,
    evacuated: EvacuatedDomains,
    cold: ColdFleet,
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
        self.apply_evacuation();
        self.allocate_slots();
        self.place_cold();
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

    /// The key of a target's present run, if it is known.
    #[must_use]
    pub fn key(&self, id: &TargetId) -> Option<TargetKey> {
        self.ids.get(id).copied()
    }

    /// The entry of a target, if it is known.
    #[must_use]
    pub fn entry(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key).map(|state| &state.entry)
    }

    /// The live instances.
    pub(crate) fn instances(&self) -> &InstanceMap {
        &self.instances
    }

    /// Counts an attempt that is about to be sent.
    pub fn begin_attempt(&mut self, key: TargetKey, prompt_tokens: u64) {
        if let Some(state) = self.targets.get_mut(key) {
            state.share.record_taken(state.running);
            state.running += 1;
            state.unread_tokens += prompt_tokens;
            state.health.record_sent();
            state.cold.record_placed();
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
            state.cold.record_answer(MonoTime::ZERO + now.since(MonoTime::ZERO + sample.hold));
            state.standing.record_success(state.entry.slots);
            state.add_sample(sample, now);
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
