use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use kwg_model::{InstanceName, MonoTime};

use super::{PeerRecord, PeerState};

/// Timeouts after which a neighbour is marked silent and its record is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterOptions {
    /// How long after its last heartbeat a neighbour is marked silent.
    pub silence_timeout: Duration,
    /// How long the record of a silent router is kept.
    pub forget_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self { silence_timeout: Duration::from_secs(3), forget_after: Duration::from_secs(600) }
    }
}

/// The routers known to one router: its neighbours by their heartbeats, the others by gossip.
///
/// ```
/// use kwg_decide::{PeerRecord, PeerRoster, PeerState, RosterOptions};
/// use kwg_model::{DomainName, InstanceName, MonoTime, RegionName};
///
/// let record = |name: &str| PeerRecord {
///     instance: InstanceName::new(name).expect("valid"),
///     incarnation: 1,
///     counter: 0,
///     state: PeerState::Serving,
///     shards: 1,
///     domain: DomainName::new("ost-graz").expect("valid"),
///     region: RegionName::new("ost").expect("valid"),
/// };
/// let mut roster = PeerRoster::new(record("r1"), RosterOptions::default());
/// assert!(roster.merge(MonoTime::ZERO, record("r2")));
/// assert!(!roster.merge(MonoTime::ZERO, record("r2")), "nothing new");
/// assert_eq!(roster.reachable().count(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct PeerRoster {
    options: RosterOptions,
    own: PeerRecord,
    records: BTreeMap<InstanceName, PeerRecord>,
    /// When the last heartbeat of each neighbour was received, or the first one expected.
    last_heartbeats: BTreeMap<InstanceName, MonoTime>,
    /// When each silent router was marked silent.
    silent_since: BTreeMap<InstanceName, MonoTime>,
    /// Routers whose records have changed since the last [`take_changed`](Self::take_changed).
    changed: BTreeSet<InstanceName>,
    /// Incarnations that were replaced by a later one, in the order of replacement.
    ended_incarnations: VecDeque<(InstanceName, u64)>,
}

/// Maximum number of ended incarnations that are kept.
const MAX_ENDED_INCARNATIONS: usize = 256;

impl PeerRoster {
    /// Creates a roster that contains only its own router.
    #[must_use]
    pub fn new(own: PeerRecord, options: RosterOptions) -> Self {
        let changed = BTreeSet::from([own.instance.clone()]);
        Self {
            options,
            own,
            records: BTreeMap::new(),
            last_heartbeats: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            changed,
            ended_incarnations: VecDeque::new(),
        }
    }

    /// Returns this router's own record.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// Sets this router's own state.
    pub fn set_own_state(&mut self, state: PeerState) {
        if self.own.state != state {
            self.own.state = state;
            self.own.counter += 1;
            self.changed.insert(self.own.instance.clone());
        }
    }

    /// Records a heartbeat of a neighbour.
    pub fn record_heartbeat(&mut self, now: MonoTime, neighbour: &InstanceName) {
        self.last_heartbeats.insert(neighbour.clone(), now);
    }

    /// Merges a record received from a neighbour; returns whether it changed this roster.
    pub fn merge(&mut self, now: MonoTime, record: PeerRecord) -> bool {
        if record.instance == self.own.instance {
            return self.refute(&record);
        }
        let is_new = match self.records.get(&record.instance) {
            Some(known) => record.supersedes(known),
            None => record.state != PeerState::Silent,
        };
        if is_new {
            self.store(now, record);
        }
        is_new
    }

    /// Marks neighbours without a heartbeat within the timeout as silent, and removes routers
    /// that have been silent for longer than [`RosterOptions::forget_after`].
    ///
    /// `neighbours` are the routers that this one exchanges heartbeats with.
    pub fn expire(&mut self, now: MonoTime, neighbours: &BTreeSet<InstanceName>) {
        self.last_heartbeats.retain(|instance, _| neighbours.contains(instance));
        for neighbour in neighbours {
            let last_heartbeat = *self.last_heartbeats.entry(neighbour.clone()).or_insert(now);
            let Some(record) = self.records.get(neighbour) else { continue };
            let is_silent = now.since(last_heartbeat) > self.options.silence_timeout;
            if is_silent && record.state != PeerState::Silent {
                let record = PeerRecord { state: PeerState::Silent, ..record.clone() };
                self.store(now, record);
            }
        }
        let forget_after = self.options.forget_after;
        let expired =
            self.silent_since.iter().filter(|(_, since)| now.since(**since) > forget_after);
        let expired: Vec<InstanceName> = expired.map(|(instance, _)| instance.clone()).collect();
        for instance in expired {
            self.silent_since.remove(&instance);
            self.records.remove(&instance);
        }
    }

    /// Returns the other routers that are not silent.
    pub fn reachable(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(|record| record.state != PeerState::Silent)
    }

    /// Returns every record, including this router's own.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().chain([&self.own])
    }

    /// Returns the incarnations that were replaced by a later one of the same router.
    pub fn ended_incarnations(&self) -> impl Iterator<Item = &(InstanceName, u64)> {
        self.ended_incarnations.iter()
    }

    /// Returns the records that changed since the last call, to be sent to neighbours.
    pub fn take_changed(&mut self) -> Vec<PeerRecord> {
        let changed = std::mem::take(&mut self.changed);
        let record = |instance: &InstanceName| match *instance == self.own.instance {
            true => Some(self.own.clone()),
            false => self.records.get(instance).cloned(),
        };
        changed.iter().filter_map(record).collect()
    }

    /// Refutes a record of this router with a wrong incarnation or state by raising the own counter
    /// above it; returns whether it did.
    fn refute(&mut self, record: &PeerRecord) -> bool {
        let is_wrong = record.incarnation != self.own.incarnation || record.state != self.own.state;
        if !is_wrong || !record.supersedes(&self.own) {
            return false;
        }
        self.own.counter = record.counter + 1;
        self.changed.insert(self.own.instance.clone());
        true
    }

    fn store(&mut self, now: MonoTime, record: PeerRecord) {
        let instance = record.instance.clone();
        if let Some(old) = self.records.get(&instance)
            && old.incarnation != record.incarnation
        {
            self.ended_incarnations.push_back((instance.clone(), old.incarnation));
            if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
                self.ended_incarnations.pop_front();
            }
        }
        if record.state == PeerState::Silent {
            self.silent_since.entry(instance.clone()).or_insert(now);
        } else {
            self.silent_since.remove(&instance);
        }
        self.changed.insert(instance.clone());
        self.records.insert(instance, record);
    }
}
