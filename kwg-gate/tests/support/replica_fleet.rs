//! A store and instances that copy its table of targets, under virtual time.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::{
    CallFailure, Calling, FeedCall, Pausing, PeerRuns, PullReply, ReadPurpose, StoreFeed, StoreRow,
    StoreWitness, TableReplica, TargetId, TargetRegistry, Waiting,
};
use kwg_model::MonoTime;

use crate::store_model::{PROBED_LIMIT, SeededDraws, StoreModel, target_entry};

/// Step of the virtual time.
pub const TICK: Duration = Duration::from_millis(10);
/// Interval of digests, and of the check for targets that are no longer held.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time of a message between two instances, or between an instance and the store.
const TRANSIT: Duration = Duration::from_millis(10);

#[derive(Debug)]
enum FeedState {
    Waiting(StoreFeed<Waiting>),
    Calling(StoreFeed<Calling>, OpenCall),
    Pausing(StoreFeed<Pausing>),
}

/// A call on its way.
#[derive(Debug, Clone)]
struct OpenCall {
    sent: MonoTime,
    after: u64,
    /// Since when its connection delivers nothing.
    dead_since: Option<MonoTime>,
    /// Whether the store was silent when the call or its reply was due: no reply comes, although the
    /// connection is alive.
    is_lost: bool,
}

/// Messages between instances.
#[derive(Debug, Clone)]
enum PeerMessage {
    Digest { run: u64, revision: u64, store_lost: bool },
    Pull { known: u64 },
    Reply(PullReply),
}

/// An instance and what it has known.
#[derive(Debug)]
pub struct ReplicaNode {
    pub replica: TableReplica,
    pub registry: TargetRegistry,
    feed: Option<FeedState>,
    /// Whether the store cannot be reached from here.
    pub is_cut: bool,
    /// Number of pulls since the start.
    pub pulls: u32,
    /// Number of whole copies received since the start.
    pub copies: u32,
    /// Number of full readings of the store since the start.
    pub readings: u32,
    /// Whether its own row has been written since the start.
    has_joined: bool,
    /// Whether the last call of the store failed.
    pub store_lost: bool,
    witness: StoreWitness,
    runs: PeerRuns,
    run: u64,
    /// Number of outages of the store that it has noticed.
    pub outages: u32,
    /// Highest revision known by key, and whether the row was removed at it.
    seen: HashMap<String, (u64, bool)>,
}

impl ReplicaNode {
    fn new() -> Self {
        Self {
            replica: TableReplica::default(),
            registry: TargetRegistry::default(),
            feed: Some(FeedState::Waiting(StoreFeed::new())),
            is_cut: false,
            pulls: 0,
            copies: 0,
            readings: 0,
            has_joined: false,
            store_lost: false,
            witness: StoreWitness::default(),
            runs: PeerRuns::default(),
            run: 0,
            outages: 0,
            seen: HashMap::new(),
        }
    }

    /// Whether requests may be sent to a target.
    pub fn uses(&self, key: &str) -> bool {
        self.registry.get(&TargetId::new(key)).is_some_and(|entry| !entry.is_draining)
    }

    fn fail(
        &mut self,
        calling: StoreFeed<Calling>,
        failure: CallFailure,
        now: MonoTime,
        draw: f64,
    ) -> FeedState {
        self.store_lost = true;
        let pausing = calling.failed(failure, &self.witness, now, draw);
        FeedState::Pausing(pausing.plan_checks(self.replica.mirror().revision(), now))
    }

    fn use_rows(&mut self, rows: &[StoreRow], now: MonoTime) {
        for row in rows {
            let id = TargetId::new(&row.key);
            let entry =
                row.value.as_deref().map(|value| target_entry(&row.key, value == b"draining"));
            self.registry.apply(row.revision, &id, entry, now);
        }
    }

    /// Applies the store's answer to a call.
    fn answer(
        &mut self,
        index: usize,
        calling: StoreFeed<Calling>,
        after: u64,
        store: &mut StoreModel,
        now: MonoTime,
    ) -> StoreFeed<Waiting> {
        let call = calling.call();
        let (feed, ends_outage) = calling.answered(&self.witness, now);
        self.store_lost = false;
        if ends_outage {
            self.outages += 1;
            self.registry.record_store_return(now);
        }
        let (feed, changed) = match call {
            FeedCall::Follow { .. } => {
                let rows = store.changes_after(after);
                (feed, self.replica.apply_feed(rows, after, store.revision))
            }
            FeedCall::Read => {
                self.readings += 1;
                let reading = store.read();
                let feed = feed.plan_checks(reading.revision(), now);
                (feed, self.replica.apply_reading(reading, ReadPurpose::Start))
            }
            FeedCall::Check { floor } => {
                self.readings += 1;
                if store.own_row(index) <= floor {
                    store.write_own_row(index);
                }
                let shown = store.own_row(index);
                let reading = store.read();
                let reading = if shown > floor { reading.with_proof(shown) } else { reading };
                let feed = feed.record_check(reading.proved(), now);
                (feed, self.replica.apply_reading(reading, ReadPurpose::Check))
            }
        };
        self.use_rows(&changed, now);
        feed
    }

    /// Checks that no row goes back to an earlier state.
    fn check_rows(&mut self, at: MonoTime) {
        let known: HashMap<String, u64> = self
            .replica
            .mirror()
            .rows()
            .map(|(key, revision, _)| (key.to_owned(), revision))
            .collect();
        for (key, (seen, was_removed)) in &mut self.seen {
            match known.get(key) {
                Some(revision) => {
                    let is_later =
                        if *was_removed { *revision > *seen } else { *revision >= *seen };
                    assert!(is_later, "{at:?}: {key} goes back from {seen} to {revision}");
                }
                None if !*was_removed => (*seen, *was_removed) = (*seen, true),
                None => {}
            }
        }
        for (key, revision) in known {
            self.seen.insert(key, (revision, false));
        }
    }
}

/// The instances, which exchange digests with each other.
#[derive(Debug)]
pub struct ReplicaFleet {
    pub now: MonoTime,
    pub store: StoreModel,
    pub nodes: Vec<ReplicaNode>,
    pub draws: SeededDraws,
    /// Share of the messages between instances that are lost.
    pub loss: f64,
    messages: Vec<(MonoTime, usize, usize, PeerMessage)>,
    /// When the store last answered that it no longer has the changes that an instance asked for.
    pub history_missed: MonoTime,
}

impl ReplicaFleet {
    pub fn new(size: usize, targets: &[&str], seed: u64) -> Self {
        let mut store = StoreModel::default();
        targets.iter().for_each(|target| _ = store.write(target, Some(b"ready")));
        let now = MonoTime::from_millis(1);
        let nodes = (0..size).map(|_| ReplicaNode::new()).collect();
        let draws = SeededDraws::new(seed);
        Self {
            now,
            store,
            nodes,
            draws,
            loss: 0.0,
            messages: Vec::new(),
            history_missed: MonoTime::ZERO,
        }
    }

    /// Starts an instance again.
    pub fn restart(&mut self, node: usize) {
        let is_cut = self.nodes[node].is_cut;
        self.nodes[node] = ReplicaNode { is_cut, run: self.now.as_millis(), ..ReplicaNode::new() };
        self.messages.retain(|(_, _, to, _)| *to != node);
    }

    /// Breaks the connections of all instances to the store.
    pub fn break_connections(&mut self) {
        for node in &mut self.nodes {
            node.feed = match node.feed.take() {
                Some(FeedState::Calling(calling, _)) => {
                    let draw = self.draws.next();
                    Some(node.fail(calling, CallFailure::Broken, self.now, draw))
                }
                Some(FeedState::Waiting(feed)) => {
                    let revision = node.replica.mirror().revision();
                    Some(FeedState::Waiting(feed.plan_checks(revision, self.now)))
                }
                other => other,
            };
        }
    }

    /// Lets the connection to the store go silent for good.
    pub fn kill_connection(&mut self, node: usize) {
        if let Some(FeedState::Calling(_, call)) = &mut self.nodes[node].feed {
            call.dead_since.get_or_insert(self.now);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + TICK;
        self.store.now = self.now;
        for node in 0..self.nodes.len() {
            self.step_feed(node);
        }
        if self.now.as_millis() % DIGEST_INTERVAL.as_millis() as u64 <= 1 {
            self.send_digests();
        }
        let now = self.now;
        let (due, later) = self.messages.drain(..).partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<(MonoTime, usize, usize, PeerMessage)> = due;
        due.into_iter().for_each(|(_, from, to, message)| self.deliver(from, to, message));
        self.nodes.iter_mut().for_each(|node| node.check_rows(now));
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.draws.next() >= self.loss {
            self.messages.push((self.now + TRANSIT, from, to, message));
        }
    }

    fn send_digests(&mut self) {
        for from in 0..self.nodes.len() {
            let now = self.now;
            self.nodes[from].registry.expire(now);
            let node = &self.nodes[from];
            let revision = node.replica.mirror().content_revision();
            let (run, store_lost) = (node.run, node.store_lost);
            let digest = PeerMessage::Digest { run, revision, store_lost };
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                self.send(from, to, digest.clone());
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let now = self.now;
        let node = &mut self.nodes[to];
        match message {
            PeerMessage::Digest { run, revision, store_lost } => {
                let peer = from.to_string();
                node.runs.record(&peer, run);
                if !node.store_lost {
                    node.runs.record_store_answer();
                }
                node.witness.record(&peer, !store_lost, revision, now);
                if node.replica.should_pull(revision, !node.store_lost, now)
                    || node.runs.should_pull(&peer, now)
                {
                    node.pulls += 1;
                    let known = node.replica.mirror().covered_revision();
                    self.break_off(to);
                    self.send(to, from, PeerMessage::Pull { known });
                }
            }
            PeerMessage::Pull { known } => {
                if let Some(reply) = node.replica.answer_pull(known) {
                    self.send(to, from, PeerMessage::Reply(reply));
                }
            }
            PeerMessage::Reply(reply) => {
                let rows = match reply {
                    PullReply::Changes(changes) => {
                        let applied = node.replica.apply_changes(changes);
                        (!applied.has_gap).then_some(applied.rows)
                    }
                    PullReply::Copy(copy) => {
                        node.copies += 1;
                        node.replica.apply_copy(copy)
                    }
                };
                if let Some(rows) = rows {
                    node.runs.record_copy(&from.to_string());
                    node.use_rows(&rows, now);
                }
            }
        }
    }

    fn break_off(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.feed = match node.feed.take() {
            Some(FeedState::Calling(calling, _))
                if matches!(calling.call(), FeedCall::Follow { .. }) =>
            {
                Some(FeedState::Waiting(calling.broken_off(&node.witness)))
            }
            other => other,
        };
    }

    fn step_feed(&mut self, index: usize) {
        let (now, draw) = (self.now, self.draws.next());
        let (store, node) = (&mut self.store, &mut self.nodes[index]);
        let is_reached = !store.is_silent && !node.is_cut;
        if is_reached && !node.has_joined {
            node.has_joined = true;
            store.write_own_row(index);
        }
        let feed = node.feed.take().expect("a state");
        node.feed = Some(match feed {
            FeedState::Waiting(feed) => {
                let after = node.replica.mirror().revision();
                let dead_since = node.is_cut.then_some(now);
                let call = OpenCall { sent: now, after, dead_since, is_lost: store.is_silent };
                FeedState::Calling(feed.begin(now, draw), call)
            }
            FeedState::Pausing(pausing) if now >= pausing.until() => {
                FeedState::Waiting(pausing.resume())
            }
            FeedState::Pausing(pausing) => FeedState::Pausing(pausing),
            FeedState::Calling(calling, mut call) => {
                let age = now.since(call.sent);
                let limit = calling.call().reply_limit();
                let is_due = match calling.call() {
                    FeedCall::Read | FeedCall::Check { .. } => age >= TRANSIT,
                    FeedCall::Follow { wait } => {
                        let has_changes = !store.changes_after(call.after).is_empty();
                        age >= TRANSIT && (has_changes || age >= wait)
                    }
                };
                call.is_lost |= store.is_silent && is_due;
                let is_heard = !node.is_cut && !call.is_lost && call.dead_since.is_none();
                let is_follow = matches!(calling.call(), FeedCall::Follow { .. });
                if is_due && is_heard {
                    if is_follow && call.after < store.dropped {
                        self.history_missed = now;
                        FeedState::Pausing(calling.history_dropped(now, draw))
                    } else {
                        FeedState::Waiting(node.answer(index, calling, call.after, store, now))
                    }
                } else if call.dead_since.is_some_and(|at| now.since(at) >= PROBED_LIMIT) {
                    node.fail(calling, CallFailure::Broken, now, draw)
                } else if age >= limit {
                    node.fail(calling, CallFailure::Unanswered, now, draw)
                } else {
                    FeedState::Calling(calling, call)
                }
            }
        });
    }
}
