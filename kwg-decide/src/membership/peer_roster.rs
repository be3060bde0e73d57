use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use kwg_model::{InstanceName, MonoTime};

use super::{PeerRecord, PeerState};

/// Waiting times of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterOptions {
    /// How long a neighbour may be silent before it counts as gone.
    pub silence_timeout: Duration,
    /// How long a silent router is remembered.
    pub forget_after: Duration,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self { silence_timeout: Duration::from_secs(3), forget_after: Duration::from_secs(600) }
    }
}

/// The routers as one router knows them: its neighbours by their heartbeats, the others by
/// what neighbours pass on.
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
/// assert_eq!(roster.present().count(), 1);
/// ```
#[derive(Debug, Clone)]
pub struct PeerRoster {
    options: RosterOptions,
    own: PeerRecord,
    records: BTreeMap<InstanceName, PeerRecord>,
    /// When each neighbour was last heard, or expected for the first time.
    heard: BTreeMap<InstanceName, MonoTime>,
    /// When each silent router fell silent.
    silent_since: BTreeMap<InstanceName, MonoTime>,
    changed: BTreeSet<InstanceName>,
    /// Runs that were followed by another one, oldest first.
    ended: VecDeque<(InstanceName, u64)>,
}

/// Most ended runs that are remembered.
const ENDED_MAX: usize = 256;

impl PeerRoster {
    /// A roster that knows its own router only.
    #[must_use]
    pub fn new(own: PeerRecord, options: RosterOptions) -> Self {
        let changed = BTreeSet::from([own.instance.clone()]);
        Self {
            options,
            own,
            records: BTreeMap::new(),
            heard: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            changed,
            ended: VecDeque::new(),
        }
    }

    /// This router's own record.
    #[must_use]
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// Changes this router's own state.
    pub fn set_own_state(&mut self, state: PeerState) {
        if self.own.state != state {
            self.own.state = state;
            self.own.counter += 1;
            self.changed.insert(self.own.instance.clone());
        }
    }

    /// Notes that a neighbour was heard.
    pub fn note_heard(&mut self, now: MonoTime, neighbour: &InstanceName) {
        self.heard.insert(neighbour.clone(), now);
    }

    /// Takes a record that a neighbour passed on; whether it was news.
    pub fn merge(&mut self, now: MonoTime, record: PeerRecord) -> bool {
        if record.instance == self.own.instance {
            return self.refute(&record);
        }
        let news = match self.records.get(&record.instance) {
            Some(known) => record.supersedes(known),
            None => record.state != PeerState::Silent,
        };
        if news {
            self.store(now, record);
        }
        news
    }

    /// Marks neighbours that have been silent for too long, and forgets who has been so for
    /// very long. `neighbours` are the routers that this one exchanges heartbeats with.
    pub fn expire(&mut self, now: MonoTime, neighbours: &BTreeSet<InstanceName>) {
        self.heard.retain(|instance, _| neighbours.contains(instance));
        for neighbour in neighbours {
            let heard = *self.heard.entry(neighbour.clone()).or_insert(now);
            let Some(record) = self.records.get(neighbour) else { continue };
            let is_silent = now.since(heard) > self.options.silence_timeout;
            if is_silent && record.state != PeerState::Silent {
                let record = PeerRecord { state: PeerState::Silent, ..record.clone() };
                self.store(now, record);
            }
        }
        let forget_after = self.options.forget_after;
        let old = self.silent_since.iter().filter(|(_, since)| now.since(**since) > forget_after);
        let old: Vec<InstanceName> = old.map(|(instance, _)| instance.clone()).collect();
        for instance in old {
            self.silent_since.remove(&instance);
            self.records.remove(&instance);
        }
    }

    /// The other routers that are there.
    pub fn present(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().filter(|record| record.state != PeerState::Silent)
    }

    /// Every record, this router's own among them.
    pub fn all(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values().chain([&self.own])
    }

    /// Runs of routers that were followed by another run.
    pub fn ended(&self) -> impl Iterator<Item = &(InstanceName, u64)> {
        self.ended.iter()
    }

    /// Takes the records that changed since the last call, to be passed on.
    pub fn take_changed(&mut self) -> Vec<PeerRecord> {
        let changed = std::mem::take(&mut self.changed);
        let record = |instance: &InstanceName| match *instance == self.own.instance {
            true => Some(self.own.clone()),
            false => self.records.get(instance).cloned(),
        };
        changed.iter().filter_map(record).collect()
    }

    /// Takes the word of somebody who is wrong about this router, and outbids it.
    fn refute(&mut self, record: &PeerRecord) -> bool {
        let wrong = record.incarnation != self.own.incarnation || record.state != self.own.state;
        if !wrong || !record.supersedes(&self.own) {
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
            self.ended.push_back((instance.clone(), old.incarnation));
            if self.ended.len() > ENDED_MAX {
                self.ended.pop_front();
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
