use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kwg_decide::{GraphMember, PeerGraph, PeerRecord, PeerRoster, PeerState};
use kwg_model::{HomeAddress, InstanceName, MonoTime};

use super::{ControlMessage, Heartbeat};

/// Maximum number of handed-over ledgers to remember and forward; beyond it the one with the lowest
/// home address is dropped.
const MOVED_MAX: usize = 64;

/// Gossip between neighbouring routers: membership records and the locations of handed-over
/// ledgers, sent with heartbeats.
#[derive(Debug)]
pub(super) struct GossipHandler {
    roster: PeerRoster,
    neighbours: BTreeSet<InstanceName>,
    /// Handed-over ledgers: home to the core that keeps its ledger now.
    moved: BTreeMap<HomeAddress, HomeAddress>,
    /// Handed-over ledgers not yet sent to the neighbours.
    unsent_moved: BTreeSet<HomeAddress>,
    /// Number of heartbeats built. It selects, modulo their counts, the unchanged record and the
    /// moved ledger that each heartbeat repeats in case an earlier message was lost.
    heartbeat_count: usize,
    interval: Duration,
    next_heartbeat: MonoTime,
    /// Whether a heartbeat must be sent before the next regular one.
    has_changes: bool,
}

impl GossipHandler {
    pub(super) fn new(roster: PeerRoster, interval: Duration) -> Self {
        Self {
            roster,
            neighbours: BTreeSet::new(),
            moved: BTreeMap::new(),
            unsent_moved: BTreeSet::new(),
            heartbeat_count: 0,
            interval,
            next_heartbeat: MonoTime::ZERO,
            has_changes: false,
        }
    }

    pub(super) fn roster(&self) -> &PeerRoster {
        &self.roster
    }

    pub(super) fn own(&self) -> &PeerRecord {
        self.roster.own()
    }

    pub(super) fn neighbours(&self) -> &BTreeSet<InstanceName> {
        &self.neighbours
    }

    pub(super) fn moved(&self) -> &BTreeMap<HomeAddress, HomeAddress> {
        &self.moved
    }

    /// Returns the number of routers that are not silent, including this one.
    pub(super) fn fleet_size(&self) -> u32 {
        u32::try_from(self.roster.reachable().count() + 1).unwrap_or(u32::MAX)
    }

    pub(super) fn next_heartbeat(&self) -> MonoTime {
        self.next_heartbeat
    }

    pub(super) fn leave(&mut self) {
        self.roster.set_own_state(PeerState::Leaving);
        self.has_changes = true;
    }

    pub(super) fn record_contact(&mut self, now: MonoTime, from: &InstanceName) {
        self.roster.record_heartbeat(now, from);
    }

    /// Applies the instance list. Returns the neighbours that were added.
    pub(super) fn on_members(&mut self, members: &[GraphMember]) -> Vec<InstanceName> {
        let own = &self.roster.own().instance;
        let unlisted = || GraphMember { instance: own.clone(), region: None };
        let own = members.iter().find(|member| member.instance == *own).cloned();
        let neighbours = PeerGraph::neighbours(&own.unwrap_or_else(unlisted), members);
        let added = neighbours.difference(&self.neighbours).cloned().collect();
        self.neighbours = neighbours;
        self.has_changes = true;
        added
    }

    /// Merges a record received from a neighbour. Returns whether it changed anything.
    pub(super) fn merge(&mut self, now: MonoTime, record: PeerRecord) -> bool {
        let is_new = self.roster.merge(now, record);
        self.has_changes |= is_new;
        is_new
    }

    /// Records the new location of a ledger. Returns whether it changed.
    pub(super) fn record_moved(&mut self, home: HomeAddress, successor: HomeAddress) -> bool {
        if self.moved.get(&home) == Some(&successor) {
            return false;
        }
        self.unsent_moved.insert(home.clone());
        self.moved.insert(home, successor);
        while self.moved.len() > MOVED_MAX {
            self.moved.pop_first();
        }
        self.has_changes = true;
        true
    }

    /// Detects neighbours that have stopped sending.
    ///
    /// Returns whether any record has changed since the last call, and the heartbeat to send now,
    /// if any.
    pub(super) fn poll(&mut self, now: MonoTime, revision: u64) -> (bool, Option<ControlMessage>) {
        self.roster.expire(now, &self.neighbours);
        let changed = self.roster.take_changed();
        let has_changed = !changed.is_empty();
        let must_send = std::mem::take(&mut self.has_changes) || has_changed;
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.interval;
        } else if !must_send {
            return (false, None);
        }
        (has_changed, Some(self.heartbeat(changed, revision)))
    }

    /// Returns a heartbeat with all records, for a router that has just started.
    pub(super) fn full_heartbeat(&mut self, revision: u64) -> ControlMessage {
        let records = self.roster.all().cloned().collect();
        self.heartbeat(records, revision)
    }

    fn heartbeat(&mut self, mut records: Vec<PeerRecord>, revision: u64) -> ControlMessage {
        self.heartbeat_count += 1;
        let known: Vec<&PeerRecord> = self.roster.all().collect();
        let old = known[self.heartbeat_count % known.len()].clone();
        if records.iter().all(|record| record.instance != old.instance) {
            records.push(old);
        }
        let mut homes = std::mem::take(&mut self.unsent_moved);
        let old = self.moved.keys().nth(self.heartbeat_count % self.moved.len().max(1));
        homes.extend(old.cloned());
        let moved = homes.iter().filter_map(|home| self.moved.get_key_value(home));
        let moved = moved.map(|(home, to)| (home.clone(), to.clone())).collect();
        ControlMessage::Heartbeat(Box::new(Heartbeat { revision, records, moved }))
    }
}
