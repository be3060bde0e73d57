use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kwg_decide::{GraphMember, PeerGraph, PeerRecord, PeerRoster, PeerState};
use kwg_model::{HomeAddress, InstanceName, MonoTime};

use super::{ControlMessage, Heartbeat};

/// Most handed-over ledgers that are remembered and passed on.
const MOVED_MAX: usize = 64;

/// What routers pass on to their neighbours with heartbeats: who is there, and where ledgers
/// have gone.
#[derive(Debug)]
pub(super) struct GossipDesk {
    roster: PeerRoster,
    neighbours: BTreeSet<InstanceName>,
    moved: BTreeMap<HomeAddress, HomeAddress>,
    /// Handed-over ledgers that neighbours have not been told of yet.
    moved_news: BTreeSet<HomeAddress>,
    /// Which old record goes with the next heartbeat, in case its news was lost on the way.
    rotation: usize,
    interval: Duration,
    next_beat: MonoTime,
    has_news: bool,
}

impl GossipDesk {
    pub(super) fn new(roster: PeerRoster, interval: Duration) -> Self {
        Self {
            roster,
            neighbours: BTreeSet::new(),
            moved: BTreeMap::new(),
            moved_news: BTreeSet::new(),
            rotation: 0,
            interval,
            next_beat: MonoTime::ZERO,
            has_news: false,
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

    /// How many routers there are, this one among them.
    pub(super) fn fleet_size(&self) -> u32 {
        u32::try_from(self.roster.present().count() + 1).unwrap_or(u32::MAX)
    }

    pub(super) fn next_beat(&self) -> MonoTime {
        self.next_beat
    }

    pub(super) fn leave(&mut self) {
        self.roster.set_own_state(PeerState::Leaving);
        self.has_news = true;
    }

    pub(super) fn note_heard(&mut self, now: MonoTime, from: &InstanceName) {
        self.roster.note_heard(now, from);
    }

    /// Follows the instance list; gives the neighbours that are new.
    pub(super) fn on_members(&mut self, members: &[GraphMember]) -> Vec<InstanceName> {
        let own = &self.roster.own().instance;
        let unlisted = || GraphMember { instance: own.clone(), region: None };
        let own = members.iter().find(|member| member.instance == *own).cloned();
        let neighbours = PeerGraph::neighbours(&own.unwrap_or_else(unlisted), members);
        let fresh = neighbours.difference(&self.neighbours).cloned().collect();
        self.neighbours = neighbours;
        self.has_news = true;
        fresh
    }

    /// Takes what a neighbour says of a router; whether it was news.
    pub(super) fn merge(&mut self, now: MonoTime, record: PeerRecord) -> bool {
        let news = self.roster.merge(now, record);
        self.has_news |= news;
        news
    }

    /// Notes where a ledger has gone; whether it was news.
    pub(super) fn note_moved(&mut self, home: HomeAddress, successor: HomeAddress) -> bool {
        if self.moved.get(&home) == Some(&successor) {
            return false;
        }
        self.moved_news.insert(home.clone());
        self.moved.insert(home, successor);
        while self.moved.len() > MOVED_MAX {
            self.moved.pop_first();
        }
        self.has_news = true;
        true
    }

    /// Looks for neighbours that have fallen silent; whether any record has changed since the
    /// last call, and the heartbeat if one is to be sent now.
    pub(super) fn beat(&mut self, now: MonoTime, revision: u64) -> (bool, Option<ControlMessage>) {
        self.roster.expire(now, &self.neighbours);
        let changed = self.roster.take_changed();
        let has_changed = !changed.is_empty();
        let is_news = std::mem::take(&mut self.has_news) || has_changed;
        if now >= self.next_beat {
            self.next_beat = now + self.interval;
        } else if !is_news {
            return (false, None);
        }
        (has_changed, Some(self.heartbeat(changed, revision)))
    }

    /// A heartbeat with every record, for a router that has just started.
    pub(super) fn full_heartbeat(&mut self, revision: u64) -> ControlMessage {
        let records = self.roster.all().cloned().collect();
        self.heartbeat(records, revision)
    }

    fn heartbeat(&mut self, mut records: Vec<PeerRecord>, revision: u64) -> ControlMessage {
        self.rotation += 1;
        let known: Vec<&PeerRecord> = self.roster.all().collect();
        let old = known[self.rotation % known.len()].clone();
        if records.iter().all(|record| record.instance != old.instance) {
            records.push(old);
        }
        let mut homes = std::mem::take(&mut self.moved_news);
        let old = self.moved.keys().nth(self.rotation % self.moved.len().max(1));
        homes.extend(old.cloned());
        let moved = homes.iter().filter_map(|home| self.moved.get_key_value(home));
        let moved = moved.map(|(home, to)| (home.clone(), to.clone())).collect();
        ControlMessage::Heartbeat(Box::new(Heartbeat { revision, records, moved }))
    }
}
