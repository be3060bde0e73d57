//! Instances that follow both tables of a store over connections that go silent for good, under virtual time.
//! Neither a reset nor a probe of the kernel ends a silent connection; new connections work.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::time::Duration;

use kwg_gate::{
    CallFailure, Calling, FeedCall, Pausing, PullReply, ReadPurpose, RowChanges, StoreFeed,
    StoreWitness, TableReplica, Waiting,
};
use kwg_model::MonoTime;

use crate::store_model::{SeededDraws, StoreModel};

/// Step of the virtual time.
pub const TICK: Duration = Duration::from_millis(10);
/// Interval of digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time of a message between two instances, or between an instance and the store.
const TRANSIT: Duration = Duration::from_millis(10);
/// Number of followed tables: that of the orders and that of the targets.
pub const TABLES: usize = 2;

#[derive(Debug)]
enum FeedState {
    Waiting(StoreFeed<Waiting>),
    Calling(StoreFeed<Calling>, OpenCall),
    Pausing(StoreFeed<Pausing>),
}

/// A call on its way.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    after: u64,
    /// Whether its connection has gone silent.
    is_dead: bool,
}

/// One table at one instance.
#[derive(Debug)]
struct FollowedTable {
    feed: Option<FeedState>,
    replica: TableReplica,
    /// Whether the store answered the last call.
    is_answered: bool,
}

#[derive(Debug, Clone)]
enum PeerMessage {
    Digest { table: usize, revision: u64 },
    Pull { table: usize, known: u64 },
    Reply { table: usize, reply: PullReply },
    Changes { table: usize, changes: RowChanges },
}

/// The store's two tables, and the instances, which exchange digests with each other.
#[derive(Debug)]
pub struct SilentFleet {
    pub now: MonoTime,
    pub stores: [StoreModel; TABLES],
    /// Number of calls to the store, by table.
    pub calls: [u64; TABLES],
    nodes: Vec<[FollowedTable; TABLES]>,
    /// Number of instances, the first ones, that follow the store; they forward changes to the others.
    readers: usize,
    draws: SeededDraws,
    /// Until when messages between instances are lost.
    peers_silent_until: MonoTime,
    messages: Vec<(MonoTime, usize, usize, PeerMessage)>,
}

impl SilentFleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let table = || FollowedTable {
            feed: Some(FeedState::Waiting(StoreFeed::new())),
            replica: TableReplica::default(),
            is_answered: true,
        };
        let mut fleet = Self {
            now: MonoTime::from_millis(1),
            stores: [StoreModel::default(), StoreModel::default()],
            calls: [0; TABLES],
            readers: size,
            nodes: (0..size).map(|_| [table(), table()]).collect(),
            draws: SeededDraws::new(seed),
            peers_silent_until: MonoTime::ZERO,
            messages: Vec::new(),
        };
        fleet.stores.iter_mut().for_each(|store| _ = store.write("row", Some(b"1")));
        fleet
    }

    /// A fleet in which only the first instances go on following the store after their first readings.
    pub fn with_readers(size: usize, readers: usize, seed: u64) -> Self {
        Self { readers, ..Self::new(size, seed) }
    }

    /// Writes a row of a table; returns its revision.
    pub fn write(&mut self, table: usize) -> u64 {
        self.stores[table].write("row", Some(b"2"))
    }

    /// Whether all instances have the row of a table at this revision.
    pub fn all_have(&self, table: usize, revision: u64) -> bool {
        let row = |node: &[FollowedTable; TABLES]| node[table].replica.mirror().row_revision("row");
        self.nodes.iter().all(|node| row(node) >= revision)
    }

    /// Lets the open connections go silent that `is_hit` names by instance and table.
    pub fn silence(&mut self, is_hit: impl Fn(usize, usize) -> bool) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            for (table, followed) in node.iter_mut().enumerate() {
                if let Some(FeedState::Calling(_, call)) = &mut followed.feed {
                    call.is_dead |= is_hit(index, table);
                }
            }
        }
    }

    /// Lets messages between instances be lost for a time.
    pub fn silence_peers(&mut self, span: Duration) {
        self.messages.clear();
        self.peers_silent_until = self.now + span;
    }

    pub fn draw(&mut self) -> f64 {
        self.draws.next()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + TICK;
        for node in 0..self.nodes.len() {
            for table in 0..TABLES {
                self.step_feed(node, table);
            }
        }
        if self.now.as_millis() % DIGEST_INTERVAL.as_millis() as u64 <= 1 {
            self.send_digests();
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.messages.drain(..).partition(|(at, ..)| *at <= now);
        self.messages = later;
        due.into_iter().for_each(|(_, from, to, message)| self.deliver(from, to, message));
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.now >= self.peers_silent_until {
            self.messages.push((self.now + TRANSIT, from, to, message));
        }
    }

    fn send_digests(&mut self) {
        let size = self.nodes.len();
        for (from, table) in (0..size).flat_map(|from| (0..TABLES).map(move |table| (from, table)))
        {
            let revision = self.nodes[from][table].replica.mirror().content_revision();
            for to in (0..size).filter(|to| *to != from) {
                self.send(from, to, PeerMessage::Digest { table, revision });
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let now = self.now;
        match message {
            PeerMessage::Digest { table, revision } => {
                let is_answered = self.nodes[to].iter().all(|followed| followed.is_answered);
                let followed = &mut self.nodes[to][table];
                if followed.replica.should_pull(revision, is_answered, now) {
                    followed.break_off();
                    let known = followed.replica.mirror().covered_revision();
                    self.send(to, from, PeerMessage::Pull { table, known });
                }
            }
            PeerMessage::Pull { table, known } => {
                if let Some(reply) = self.nodes[to][table].replica.answer_pull(known) {
                    self.send(to, from, PeerMessage::Reply { table, reply });
                }
            }
            PeerMessage::Changes { table, changes } => {
                self.nodes[to][table].replica.apply_changes(changes);
            }
            PeerMessage::Reply { table, reply } => {
                let replica = &mut self.nodes[to][table].replica;
                match reply {
                    PullReply::Changes(changes) => drop(replica.apply_changes(changes)),
                    PullReply::Copy(copy) => drop(replica.apply_copy(copy)),
                }
            }
        }
    }

    fn step_feed(&mut self, index: usize, table: usize) {
        let (now, draw) = (self.now, self.draws.next());
        let store = &mut self.stores[table];
        let followed = &mut self.nodes[index][table];
        let feed = followed.feed.take().expect("a state");
        let (mut unanswered, mut forwarded) = (None, None);
        let is_reader = index < self.readers || !followed.replica.mirror().is_filled();
        followed.feed = Some(match feed {
            FeedState::Waiting(feed) if !is_reader => FeedState::Waiting(feed),
            FeedState::Waiting(feed) => {
                self.calls[table] += 1;
                let after = followed.replica.mirror().revision();
                FeedState::Calling(feed.begin(now, draw), OpenCall { after, is_dead: false })
            }
            FeedState::Pausing(pausing) if now >= pausing.until() => {
                FeedState::Waiting(pausing.resume())
            }
            FeedState::Pausing(pausing) => FeedState::Pausing(pausing),
            FeedState::Calling(calling, call) => {
                let age = now.since(calling.sent());
                let limit = calling.call().reply_limit();
                let is_due = match calling.call() {
                    FeedCall::Read | FeedCall::Check { .. } => age >= TRANSIT,
                    FeedCall::Follow { wait } => {
                        let has_changes = !store.changes_after(call.after).is_empty();
                        age >= TRANSIT && (has_changes || age >= wait)
                    }
                };
                if is_due && !call.is_dead {
                    let (feed, changes) = followed.answer(index, calling, call.after, store, now);
                    forwarded = changes;
                    FeedState::Waiting(feed)
                } else if age >= limit {
                    unanswered = Some(calling.due().min(now));
                    let witness = StoreWitness::default();
                    let pausing = calling.failed(CallFailure::Unanswered, &witness, now, draw);
                    followed.is_answered = false;
                    let revision = followed.replica.mirror().revision();
                    FeedState::Pausing(pausing.plan_checks(revision, now))
                } else {
                    FeedState::Calling(calling, call)
                }
            }
        });
        if let Some(changes) = forwarded.filter(|_| index < self.readers) {
            for to in self.readers..self.nodes.len() {
                self.send(index, to, PeerMessage::Changes { table, changes: changes.clone() });
            }
        }
        if let Some(due) = unanswered {
            self.nodes[index][1 - table].give_up(due, now);
        }
    }
}

impl FollowedTable {
    /// The feed of the other table got no reply that was due at `due`.
    fn give_up(&mut self, due: MonoTime, now: MonoTime) {
        self.feed = match self.feed.take() {
            Some(FeedState::Calling(calling, _)) if calling.is_suspect(due) => {
                let revision = self.replica.mirror().revision();
                Some(FeedState::Waiting(calling.given_up().plan_checks(revision, now)))
            }
            other => other,
        };
    }

    /// A peer's newer revision ends the long poll.
    fn break_off(&mut self) {
        self.feed = match self.feed.take() {
            Some(FeedState::Calling(calling, _))
                if matches!(calling.call(), FeedCall::Follow { .. }) =>
            {
                Some(FeedState::Waiting(calling.broken_off(&StoreWitness::default())))
            }
            other => other,
        };
    }

    /// Applies the store's answer to a call; returns changes for instances that don't follow the store.
    fn answer(
        &mut self,
        index: usize,
        calling: StoreFeed<Calling>,
        after: u64,
        store: &mut StoreModel,
        now: MonoTime,
    ) -> (StoreFeed<Waiting>, Option<RowChanges>) {
        let call = calling.call();
        let (feed, _) = calling.answered(&StoreWitness::default(), now);
        self.is_answered = true;
        match call {
            FeedCall::Follow { .. } => {
                let base = self.replica.mirror().change_bound();
                let changes = store.changes_after(after);
                let rows = self.replica.apply_feed(changes, after, store.revision);
                let revision = rows.iter().map(|row| row.revision).max();
                (feed, revision.map(|revision| RowChanges { base, revision, rows }))
            }
            FeedCall::Read => {
                let reading = store.read();
                let feed = feed.plan_checks(reading.revision(), now);
                self.replica.apply_reading(reading, ReadPurpose::Start);
                (feed, None)
            }
            FeedCall::Check { floor } => {
                if store.own_row(index) <= floor {
                    store.write_own_row(index);
                }
                let shown = store.own_row(index);
                let reading = store.read();
                let reading = if shown > floor { reading.with_proof(shown) } else { reading };
                let feed = feed.record_check(reading.proved(), now);
                self.replica.apply_reading(reading, ReadPurpose::Check);
                (feed, None)
            }
        }
    }
}
