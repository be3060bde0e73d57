use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use kwg_decide::{GraphMember, InstanceBook, PeerGraph, PeerRecord, PeerRoster, PeerState};
use kwg_model::{
    FleetSnapshot, HomeAddress, InstanceName, InstanceRow, MonoTime, PoolName, TableDelta,
    TableSet, TargetName, VersionName,
};

use super::leader_desk::LeaderDesk;
use super::move_desk::MoveDesk;
use super::poison_desk::PoisonDesk;
use super::read_schedule::{ReadChange, ReadSchedule};
use super::{
    ControlEvent, ControlInput, ControlMessage, ControlOptions, ControlOutput, ControlStatus,
    CrashId, Heartbeat,
};

/// Time between reports of samples to the leader of a move.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Most handed-over ledgers that are remembered and passed on.
const MOVED_MAX: usize = 64;

/// The control core of a router, behind one [`step`](Self::step).
///
/// ```
/// use kwg_decide::{PeerRecord, PeerState};
/// use kwg_flow::{ControlCore, ControlInput, ControlOptions, ControlOutput};
/// use kwg_model::{DomainName, InstanceName, MonoTime, RegionName};
///
/// let own = PeerRecord {
///     instance: InstanceName::new("r1")?,
///     incarnation: 1,
///     counter: 0,
///     state: PeerState::Serving,
///     shards: 1,
///     domain: DomainName::new("ost-graz")?,
///     region: RegionName::new("ost")?,
/// };
/// let mut core = ControlCore::new(own, ControlOptions::default(), 0);
/// let outputs = core.step(MonoTime::ZERO, ControlInput::Tick);
/// assert!(outputs.iter().any(|output| matches!(output, ControlOutput::ReadTables)));
/// assert!(!core.status().ready, "no tables are known yet");
/// # Ok::<(), kwg_model::NameError>(())
/// ```
#[derive(Debug)]
pub struct ControlCore {
    options: ControlOptions,
    roster: PeerRoster,
    instances: InstanceBook,
    tables: Arc<TableSet>,
    table_reads: ReadSchedule,
    list_reads: ReadSchedule,
    neighbours: BTreeSet<InstanceName>,
    moved: BTreeMap<HomeAddress, HomeAddress>,
    /// Handed-over ledgers that neighbours have not been told of yet.
    moved_news: BTreeSet<HomeAddress>,
    /// Which old record goes with the next heartbeat, in case its news was lost on the way.
    rotation: usize,
    next_heartbeat: MonoTime,
    moves: MoveDesk,
    leader: LeaderDesk,
    poison: PoisonDesk,
    next_samples: MonoTime,
    last_fence: Option<u64>,
    crash_count: u64,
    wall_start_ms: u64,
    has_news: bool,
    is_stale: bool,
    is_draining: bool,
    outputs: Vec<ControlOutput>,
}

impl ControlCore {
    /// A core that has just started and knows nothing but its own router. The wall clock read
    /// `wall_start_ms` milliseconds since the Unix epoch when the monotonic clock read zero.
    #[must_use]
    pub fn new(own: PeerRecord, options: ControlOptions, wall_start_ms: u64) -> Self {
        let address =
            HomeAddress { instance: own.instance.clone(), incarnation: own.incarnation, shard: 0 };
        Self {
            moves: MoveDesk::default(),
            leader: LeaderDesk::new(address, options.lease),
            poison: PoisonDesk::new(options.poison),
            next_samples: MonoTime::ZERO,
            last_fence: None,
            crash_count: 0,
            wall_start_ms,
            roster: PeerRoster::new(own, options.roster),
            instances: InstanceBook::default(),
            tables: Arc::default(),
            table_reads: ReadSchedule::new(options.table_read),
            list_reads: ReadSchedule::new(options.list_read),
            neighbours: BTreeSet::new(),
            moved: BTreeMap::new(),
            moved_news: BTreeSet::new(),
            rotation: 0,
            next_heartbeat: MonoTime::ZERO,
            has_news: false,
            is_stale: false,
            is_draining: false,
            outputs: Vec::new(),
            options,
        }
    }

    /// Takes one input and gives what is to be done.
    pub fn step(&mut self, now: MonoTime, input: ControlInput) -> Vec<ControlOutput> {
        match input {
            ControlInput::TablesRead(tables) => self.on_tables_read(now, tables),
            ControlInput::InstancesRead(list) => self.on_instances_read(now, list),
            ControlInput::Peer { from, message } => self.on_peer(now, from, message),
            ControlInput::Inherited { home, successor } => self.note_moved(home, successor),
            ControlInput::Sample(sample) => self.moves.note_sample(&sample),
            ControlInput::Crash { fingerprint, target } => {
                self.on_own_crash(now, fingerprint, target)
            }
            ControlInput::LeaseRead(answer) => self.leader.on_read(now, answer),
            ControlInput::LeaseWritten(answer) => self.leader.on_written(now, answer),
            ControlInput::OrderDone { pool, target, version, loaded } => {
                self.leader.on_order_done(pool, target, version, loaded);
            }
            ControlInput::EditTried => self.leader.on_edit_tried(now),
            ControlInput::Drain => {
                self.is_draining = true;
                self.roster.set_own_state(PeerState::Leaving);
                self.has_news = true;
            }
            ControlInput::Tick => {}
        }
        self.read_platform(now);
        self.lead(now);
        self.is_stale |= self.poison.forget_old(now);
        self.roster.expire(now, &self.neighbours);
        self.beat(now);
        if std::mem::take(&mut self.is_stale) {
            let snapshot = self.snapshot();
            self.outputs.push(ControlOutput::Publish(Arc::new(snapshot)));
        }
        std::mem::take(&mut self.outputs)
    }

    /// When the core wants its next [`ControlInput::Tick`].
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> MonoTime {
        let regular = self.next_heartbeat.min(self.table_reads.next()).min(self.list_reads.next());
        self.leader.next_wake(now, &self.moves).map_or(regular, |wake| wake.min(regular))
    }

    /// What operators see of this router.
    #[must_use]
    pub fn status(&self) -> ControlStatus {
        let own = self.roster.own();
        ControlStatus {
            instance: own.instance.clone(),
            incarnation: format!("{:016x}", own.incarnation),
            ready: self.tables.revision > 0 && !self.is_draining,
            revision: self.tables.revision,
            change_id: self.tables.change_id.clone(),
            peers: self.roster.present().count(),
            leads: self.last_fence.is_some(),
            braked: self
                .moves
                .brakes()
                .keys()
                .map(|(pool, version)| format!("{pool}/{version}"))
                .collect(),
        }
    }

    /// The routers of the instance list, with their addresses.
    pub fn router_rows(&self) -> impl Iterator<Item = (InstanceName, &InstanceRow)> {
        self.instances.routers()
    }

    fn snapshot(&self) -> FleetSnapshot {
        let peers = self.roster.present().map(|record| (record.instance.clone(), record.view()));
        FleetSnapshot {
            tables: TableSet::clone(&self.tables),
            peers: peers.collect(),
            leaving: self.instances.leaving_targets(),
            moved: self.moved.clone(),
            ended: self.roster.ended().cloned().collect(),
            poison: self.poison.poison().clone(),
            braked: self.moves.brakes().keys().cloned().collect(),
        }
    }

    fn read_platform(&mut self, now: MonoTime) {
        if self.table_reads.is_due(now) {
            self.outputs.push(ControlOutput::ReadTables);
        }
        if self.list_reads.is_due(now) {
            self.outputs.push(ControlOutput::ReadInstances);
        }
    }

    /// Judges, brakes, and drives the moves if this router leads.
    fn lead(&mut self, now: MonoTime) {
        for (pool, version, evidence) in self.moves.found_bad() {
            self.brake(pool, version, evidence);
        }
        if now >= self.next_samples && self.moves.is_busy() {
            self.next_samples = now + SAMPLE_INTERVAL;
            let own = &self.roster.own().instance;
            let leader = self.leader.leader().filter(|leader| leader.instance != *own);
            if let Some(leader) = leader.cloned() {
                let samples = self.moves.take_unsent(&leader);
                if !samples.is_empty() {
                    let (to, message) = (leader.instance, ControlMessage::Samples(samples));
                    self.outputs.push(ControlOutput::Send { to, message });
                }
            }
        }
        let wall_ms = self.wall_start_ms + now.as_millis();
        self.leader.step(now, wall_ms, &self.tables, &self.moves, &mut self.outputs);
        let fence = self.leader.fence(now);
        if fence != self.last_fence {
            self.last_fence = fence;
            self.outputs.push(ControlOutput::Event(ControlEvent::Leadership { fence }));
        }
    }

    /// Stops traffic to a version at once, and tells everybody. It needs nobody's permission.
    fn brake(&mut self, pool: PoolName, version: VersionName, evidence: String) {
        if !self.moves.brake(pool.clone(), version.clone(), evidence.clone()) {
            return;
        }
        self.is_stale = true;
        self.send_all(&ControlMessage::Brake {
            pool: pool.clone(),
            version: version.clone(),
            evidence: evidence.clone(),
        });
        let event = ControlEvent::Braked { pool, version, evidence };
        self.outputs.push(ControlOutput::Event(event));
    }

    fn on_own_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName) {
        self.crash_count += 1;
        let own = self.roster.own();
        let (instance, incarnation) = (own.instance.clone(), own.incarnation);
        let id = CrashId { instance, incarnation, number: self.crash_count };
        self.note_crash(now, fingerprint, target, id);
    }

    fn note_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName, id: CrashId) {
        if !self.poison.note_crash(now, fingerprint, target.clone(), id.clone()) {
            return;
        }
        self.send_all(&ControlMessage::Crash { fingerprint, target, id });
        if self.poison.condemn(fingerprint) {
            self.is_stale = true;
            self.outputs.push(ControlOutput::Event(ControlEvent::Poisoned { fingerprint }));
        }
    }

    fn on_tables_read(&mut self, now: MonoTime, tables: Option<TableSet>) {
        let routers = self.fleet_size();
        let per_second = self.options.fleet_reads_per_second;
        let answered = tables.is_some();
        let change = self.table_reads.note_answer(now, answered, routers, per_second);
        self.note_platform(change, "tables");
        match tables {
            Some(tables) => self.take_tables(Arc::new(tables), "platform"),
            // A router that starts in an outage learns the tables from a neighbour.
            None if self.tables.revision == 0 => {
                self.send_all(&ControlMessage::TablePull);
            }
            None => {}
        }
    }

    fn on_instances_read(&mut self, now: MonoTime, list: Option<(u64, Vec<InstanceRow>)>) {
        let routers = self.fleet_size();
        let per_second = self.options.fleet_reads_per_second;
        let change = self.list_reads.note_answer(now, list.is_some(), routers, per_second);
        self.note_platform(change, "instances");
        let Some((version, rows)) = list else { return };
        let is_first = self.instances.version() == 0;
        let Some(changed) = self.instances.replace(version, rows) else { return };
        self.note_instances(&changed);
        if !is_first {
            self.send_all(&ControlMessage::Instances { version, rows: changed });
        }
    }

    fn note_instances(&mut self, rows: &[InstanceRow]) {
        self.is_stale = true;
        for row in rows.iter().filter(|row| row.leaving) {
            let event = ControlEvent::InstanceLeaving { name: row.name.clone() };
            self.outputs.push(ControlOutput::Event(event));
        }
        let members = self
            .instances
            .routers()
            .map(|(instance, row)| GraphMember { instance, region: row.region.clone() });
        let members: Vec<GraphMember> = members.collect();
        let own = &self.roster.own().instance;
        let unlisted = || GraphMember { instance: own.clone(), region: None };
        let own = members.iter().find(|member| member.instance == *own).cloned();
        let neighbours = PeerGraph::neighbours(&own.unwrap_or_else(unlisted), &members);
        for neighbour in neighbours.difference(&self.neighbours.clone()) {
            let to = neighbour.clone();
            self.outputs.push(ControlOutput::Send { to, message: ControlMessage::RosterPull });
        }
        self.neighbours = neighbours;
        self.has_news = true;
    }

    fn on_peer(&mut self, now: MonoTime, from: InstanceName, message: ControlMessage) {
        self.roster.note_heard(now, &from);
        match message {
            ControlMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, *heartbeat),
            ControlMessage::TableDelta(delta) => self.on_delta(&from, &delta),
            ControlMessage::Tables(tables) => self.take_tables(tables, from.as_str()),
            ControlMessage::TablePull if self.tables.revision > 0 => {
                let message = ControlMessage::Tables(Arc::clone(&self.tables));
                self.outputs.push(ControlOutput::Send { to: from, message });
            }
            ControlMessage::TablePull => {}
            ControlMessage::RosterPull => {
                let records = self.roster.all().cloned().collect();
                let heartbeat = self.heartbeat(records);
                self.outputs.push(ControlOutput::Send { to: from, message: heartbeat });
            }
            ControlMessage::Samples(samples) => {
                for (key, batch) in samples {
                    self.moves.note_batch(&key, &batch);
                }
            }
            ControlMessage::Brake { pool, version, evidence } => {
                self.brake(pool, version, evidence);
            }
            ControlMessage::Crash { fingerprint, target, id } => {
                self.note_crash(now, fingerprint, target, id);
            }
            ControlMessage::Instances { version, rows } => {
                if self.instances.patch(version, rows.clone()) {
                    self.note_instances(&rows);
                    self.send_all(&ControlMessage::Instances { version, rows });
                }
            }
        }
    }

    fn on_heartbeat(&mut self, now: MonoTime, from: &InstanceName, heartbeat: Heartbeat) {
        for record in heartbeat.records {
            let (instance, incarnation, state) =
                (record.instance.clone(), record.incarnation, record.state);
            if self.roster.merge(now, record) {
                self.has_news = true;
                self.is_stale = true;
                let event = ControlEvent::PeerChanged { instance, incarnation, state };
                self.outputs.push(ControlOutput::Event(event));
            }
        }
        for (home, successor) in heartbeat.moved {
            self.note_moved(home, successor);
        }
        if heartbeat.revision > self.tables.revision {
            let message = ControlMessage::TablePull;
            self.outputs.push(ControlOutput::Send { to: from.clone(), message });
        }
    }

    fn on_delta(&mut self, from: &InstanceName, delta: &TableDelta) {
        if delta.revision <= self.tables.revision {
            return;
        }
        let mut tables = TableSet::clone(&self.tables);
        if delta.apply(&mut tables) {
            self.take_tables(Arc::new(tables), from.as_str());
        } else {
            let message = ControlMessage::TablePull;
            self.outputs.push(ControlOutput::Send { to: from.clone(), message });
        }
    }

    /// Puts tables in force if they are newer, and passes them on.
    fn take_tables(&mut self, tables: Arc<TableSet>, source: &str) {
        if tables.revision <= self.tables.revision {
            return;
        }
        let delta = TableDelta::between(&self.tables, &tables);
        let was_ready = self.status().ready;
        self.note_move_steps(&tables);
        self.tables = tables;
        self.moves.on_tables(&self.tables);
        self.is_stale = true;
        let event = ControlEvent::TablesInForce {
            revision: self.tables.revision,
            change_id: self.tables.change_id.clone(),
            source: source.to_owned(),
        };
        self.outputs.push(ControlOutput::Event(event));
        if !was_ready && self.status().ready {
            self.outputs.push(ControlOutput::Event(ControlEvent::Ready));
        }
        self.send_all(&ControlMessage::TableDelta(Arc::new(delta)));
    }

    /// Tells plainly how each move has gone on.
    fn note_move_steps(&mut self, tables: &TableSet) {
        for pool in tables.pools.values() {
            let old = self.tables.pools.get(&pool.name).and_then(|old| old.version_move.as_ref());
            let Some(row) = &pool.version_move else { continue };
            if old.map(|old| (&old.to, old.phase)) != Some((&row.to, row.phase)) {
                let (pool, row) = (pool.name.clone(), Box::new(row.clone()));
                let event = ControlEvent::MoveStep { pool, row };
                self.outputs.push(ControlOutput::Event(event));
            }
        }
    }

    fn note_moved(&mut self, home: HomeAddress, successor: HomeAddress) {
        if self.moved.get(&home) == Some(&successor) {
            return;
        }
        let event = ControlEvent::LedgerMoved { home: home.clone(), successor: successor.clone() };
        self.outputs.push(ControlOutput::Event(event));
        self.moved_news.insert(home.clone());
        self.moved.insert(home, successor);
        while self.moved.len() > MOVED_MAX {
            self.moved.pop_first();
        }
        self.has_news = true;
        self.is_stale = true;
    }

    fn note_platform(&mut self, change: ReadChange, request: &'static str) {
        let event = match change {
            ReadChange::Same => return,
            ReadChange::WentDown => ControlEvent::PlatformDown { request },
            ReadChange::CameUp => ControlEvent::PlatformUp { request },
        };
        self.outputs.push(ControlOutput::Event(event));
    }

    /// Sends heartbeats when they are due or there is news.
    fn beat(&mut self, now: MonoTime) {
        let changed = self.roster.take_changed();
        let is_news = std::mem::take(&mut self.has_news) || !changed.is_empty();
        if !changed.is_empty() {
            self.is_stale = true;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.options.heartbeat;
        } else if !is_news {
            return;
        }
        let heartbeat = self.heartbeat(changed);
        self.send_all(&heartbeat);
    }

    fn heartbeat(&mut self, mut records: Vec<PeerRecord>) -> ControlMessage {
        self.rotation += 1;
        let known: Vec<&PeerRecord> = self.roster.all().collect();
        let old = known[self.rotation % known.len()].clone();
        if records.iter().all(|record| record.instance != old.instance) {
            records.push(old);
        }
        let mut homes = std::mem::take(&mut self.moved_news);
        let old = self.moved.keys().nth(self.rotation % self.moved.len().max(1));
        homes.extend(old.cloned());
        let entry = |home: &HomeAddress| self.moved.get_key_value(home);
        let moved = homes.iter().filter_map(entry);
        let moved = moved.map(|(home, to)| (home.clone(), to.clone())).collect();
        let revision = self.tables.revision;
        ControlMessage::Heartbeat(Box::new(Heartbeat { revision, records, moved }))
    }

    fn send_all(&mut self, message: &ControlMessage) {
        for to in &self.neighbours {
            let (to, message) = (to.clone(), message.clone());
            self.outputs.push(ControlOutput::Send { to, message });
        }
    }

    fn fleet_size(&self) -> u32 {
        u32::try_from(self.roster.present().count() + 1).unwrap_or(u32::MAX)
    }
}
