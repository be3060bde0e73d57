use std::sync::Arc;
use std::time::Duration;

use kwg_decide::{GraphMember, InstanceRegistry, PeerRecord, PeerRoster};
use kwg_model::{
    FleetSnapshot, HomeAddress, InstanceName, InstanceRow, MonoTime, PoolName, TableDelta,
    TableSet, TargetName, VersionName,
};

use super::gossip_handler::GossipHandler;
use super::leader_handler::LeaderHandler;
use super::move_tracker::{MoveTracker, move_steps};
use super::poison_tracker::PoisonTracker;
use super::read_schedule::ReadSchedule;
use super::{
    ControlEvent, ControlInput, ControlMessage, ControlOptions, ControlOutput, ControlStatus,
    CrashId, Heartbeat,
};

/// Interval between reports of samples to the leader of version moves.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Decides a router's table reads, gossip, version moves and poison list. All input passes through
/// [`step`](Self::step), which performs no I/O.
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
    gossip: GossipHandler,
    instances: InstanceRegistry,
    tables: Arc<TableSet>,
    table_reads: ReadSchedule,
    list_reads: ReadSchedule,
    moves: MoveTracker,
    leader: LeaderHandler,
    poison: PoisonTracker,
    next_samples: MonoTime,
    last_fence: Option<u64>,
    crash_count: u64,
    wall_start_ms: u64,
    /// Whether the published snapshot is out of date.
    needs_publish: bool,
    is_draining: bool,
    outputs: Vec<ControlOutput>,
}

impl ControlCore {
    /// Creates a core that has no information besides its own record. `wall_start_ms` is the wall
    /// clock at monotonic time zero, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn new(own: PeerRecord, options: ControlOptions, wall_start_ms: u64) -> Self {
        let address =
            HomeAddress { instance: own.instance.clone(), incarnation: own.incarnation, shard: 0 };
        Self {
            moves: MoveTracker::default(),
            leader: LeaderHandler::new(address, options.lease),
            poison: PoisonTracker::new(options.poison),
            next_samples: MonoTime::ZERO,
            last_fence: None,
            crash_count: 0,
            wall_start_ms,
            gossip: GossipHandler::new(PeerRoster::new(own, options.roster), options.heartbeat),
            instances: InstanceRegistry::default(),
            tables: Arc::default(),
            table_reads: ReadSchedule::new(options.min_table_read_interval),
            list_reads: ReadSchedule::new(options.min_list_read_interval),
            needs_publish: false,
            is_draining: false,
            outputs: Vec::new(),
            options,
        }
    }

    /// Processes one input and returns the actions to perform.
    pub fn step(&mut self, now: MonoTime, input: ControlInput) -> Vec<ControlOutput> {
        match input {
            ControlInput::TablesRead(tables) => self.on_tables_read(now, tables),
            ControlInput::InstancesRead(list) => self.on_instances_read(now, list),
            ControlInput::Peer { from, message } => self.on_peer(now, from, message),
            ControlInput::Inherited { home, successor } => self.record_moved(home, successor),
            ControlInput::Sample(sample) => self.moves.record_sample(&sample),
            ControlInput::Crash { fingerprint, target } => {
                self.on_own_crash(now, fingerprint, target)
            }
            ControlInput::LeaseRead(answer) => self.leader.on_read(now, answer),
            ControlInput::LeaseWritten(answer) => self.leader.on_written(now, answer),
            ControlInput::OrderDone { pool, target, version, loaded } => {
                self.leader.on_order_done(pool, target, version, loaded);
            }
            ControlInput::EditAttempted => self.leader.on_edit_tried(now),
            ControlInput::Drain => {
                self.is_draining = true;
                self.gossip.leave();
            }
            ControlInput::Tick => {}
        }
        self.request_reads(now);
        self.drive_moves(now);
        self.needs_publish |= self.poison.remove_expired(now);
        let (changed, heartbeat) = self.gossip.poll(now, self.tables.revision);
        self.needs_publish |= changed;
        if let Some(heartbeat) = heartbeat {
            self.send_to_neighbours(&heartbeat);
        }
        if std::mem::take(&mut self.needs_publish) {
            let snapshot = self.snapshot();
            self.outputs.push(ControlOutput::Publish(Arc::new(snapshot)));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time of the next required [`ControlInput::Tick`].
    #[must_use]
    pub fn next_wake(&self, now: MonoTime) -> MonoTime {
        let scheduled =
            self.gossip.next_heartbeat().min(self.table_reads.next()).min(self.list_reads.next());
        self.leader.next_wake(now, &self.moves).map_or(scheduled, |wake| wake.min(scheduled))
    }

    /// Returns the state of this router as shown to operators.
    #[must_use]
    pub fn status(&self) -> ControlStatus {
        let own = self.gossip.own();
        ControlStatus {
            instance: own.instance.clone(),
            incarnation: format!("{:016x}", own.incarnation),
            ready: self.tables.revision > 0 && !self.is_draining,
            revision: self.tables.revision,
            change_id: self.tables.change_id.clone(),
            peers: self.gossip.roster().reachable().count(),
            leads: self.last_fence.is_some(),
            braked: self
                .moves
                .brakes()
                .keys()
                .map(|(pool, version)| format!("{pool}/{version}"))
                .collect(),
        }
    }

    /// Returns the routers of the instance list with their rows.
    pub fn router_rows(&self) -> impl Iterator<Item = (InstanceName, &InstanceRow)> {
        self.instances.routers()
    }

    fn snapshot(&self) -> FleetSnapshot {
        let peers =
            self.gossip.roster().reachable().map(|record| (record.instance.clone(), record.view()));
        FleetSnapshot {
            tables: TableSet::clone(&self.tables),
            peers: peers.collect(),
            leaving: self.instances.leaving_targets(),
            moved: self.gossip.moved().clone(),
            ended: self.gossip.roster().ended_incarnations().cloned().collect(),
            poison: self.poison.poison().clone(),
            braked: self.moves.brakes().keys().cloned().collect(),
        }
    }

    fn request_reads(&mut self, now: MonoTime) {
        if self.table_reads.begin_if_due(now) {
            self.outputs.push(ControlOutput::ReadTables);
        }
        if self.list_reads.begin_if_due(now) {
            self.outputs.push(ControlOutput::ReadInstances);
        }
    }

    /// Brakes versions judged bad, reports samples, and drives the moves if this router leads.
    fn drive_moves(&mut self, now: MonoTime) {
        for (pool, version, evidence) in self.moves.bad_versions() {
            self.brake(pool, version, evidence);
        }
        if now >= self.next_samples && self.moves.has_moves() {
            self.next_samples = now + SAMPLE_INTERVAL;
            let own = &self.gossip.own().instance;
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

    /// Stops traffic to a version, without a lease or others' consent, and informs the neighbours.
    fn brake(&mut self, pool: PoolName, version: VersionName, evidence: String) {
        if !self.moves.brake(pool.clone(), version.clone(), evidence.clone()) {
            return;
        }
        self.needs_publish = true;
        self.send_to_neighbours(&ControlMessage::Brake {
            pool: pool.clone(),
            version: version.clone(),
            evidence: evidence.clone(),
        });
        let event = ControlEvent::Braked { pool, version, evidence };
        self.outputs.push(ControlOutput::Event(event));
    }

    fn on_own_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName) {
        self.crash_count += 1;
        let own = self.gossip.own();
        let (instance, incarnation) = (own.instance.clone(), own.incarnation);
        let id = CrashId { instance, incarnation, number: self.crash_count };
        self.record_crash(now, fingerprint, target, id);
    }

    fn record_crash(&mut self, now: MonoTime, fingerprint: u64, target: TargetName, id: CrashId) {
        if !self.poison.record_crash(now, fingerprint, target.clone(), id.clone()) {
            return;
        }
        self.send_to_neighbours(&ControlMessage::Crash { fingerprint, target, id });
        if self.poison.confirm_poison(fingerprint) {
            self.needs_publish = true;
            self.outputs.push(ControlOutput::Event(ControlEvent::Poisoned { fingerprint }));
        }
    }

    fn on_tables_read(&mut self, now: MonoTime, tables: Option<TableSet>) {
        let routers = self.gossip.fleet_size();
        let per_second = self.options.fleet_reads_per_second;
        let answered = tables.is_some();
        let change = self.table_reads.record_answer(now, answered, routers, per_second);
        self.outputs.extend(change.event("tables").map(ControlOutput::Event));
        match tables {
            Some(tables) => self.activate_tables(Arc::new(tables), "platform"),
            // A router that starts during an outage gets the tables from a neighbour.
            None if self.tables.revision == 0 => {
                self.send_to_neighbours(&ControlMessage::TablePull);
            }
            None => {}
        }
    }

    fn on_instances_read(&mut self, now: MonoTime, list: Option<(u64, Vec<InstanceRow>)>) {
        let routers = self.gossip.fleet_size();
        let per_second = self.options.fleet_reads_per_second;
        let change = self.list_reads.record_answer(now, list.is_some(), routers, per_second);
        self.outputs.extend(change.event("instances").map(ControlOutput::Event));
        let Some((version, rows)) = list else { return };
        let is_first = self.instances.version() == 0;
        let Some(changed) = self.instances.replace(version, rows) else { return };
        self.apply_instances(&changed);
        if !is_first {
            self.send_to_neighbours(&ControlMessage::Instances { version, rows: changed });
        }
    }

    fn apply_instances(&mut self, rows: &[InstanceRow]) {
        self.needs_publish = true;
        for row in rows.iter().filter(|row| row.leaving) {
            let event = ControlEvent::InstanceLeaving { name: row.name.clone() };
            self.outputs.push(ControlOutput::Event(event));
        }
        let members = self
            .instances
            .routers()
            .map(|(instance, row)| GraphMember { instance, region: row.region.clone() });
        let members: Vec<GraphMember> = members.collect();
        for to in self.gossip.on_members(&members) {
            self.outputs.push(ControlOutput::Send { to, message: ControlMessage::RosterPull });
        }
    }

    fn on_peer(&mut self, now: MonoTime, from: InstanceName, message: ControlMessage) {
        self.gossip.record_contact(now, &from);
        match message {
            ControlMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, *heartbeat),
            ControlMessage::TableDelta(delta) => self.on_delta(&from, &delta),
            ControlMessage::Tables(tables) => self.activate_tables(tables, from.as_str()),
            ControlMessage::TablePull if self.tables.revision > 0 => {
                let message = ControlMessage::Tables(Arc::clone(&self.tables));
                self.outputs.push(ControlOutput::Send { to: from, message });
            }
            ControlMessage::TablePull => {}
            ControlMessage::RosterPull => {
                let message = self.gossip.full_heartbeat(self.tables.revision);
                self.outputs.push(ControlOutput::Send { to: from, message });
            }
            ControlMessage::Samples(samples) => {
                for (key, batch) in samples {
                    self.moves.record_batch(&key, &batch);
                }
            }
            ControlMessage::Brake { pool, version, evidence } => {
                self.brake(pool, version, evidence);
            }
            ControlMessage::Crash { fingerprint, target, id } => {
                self.record_crash(now, fingerprint, target, id);
            }
            ControlMessage::Instances { version, rows } => {
                if self.instances.patch(version, rows.clone()) {
                    self.apply_instances(&rows);
                    self.send_to_neighbours(&ControlMessage::Instances { version, rows });
                }
            }
        }
    }

    fn on_heartbeat(&mut self, now: MonoTime, from: &InstanceName, heartbeat: Heartbeat) {
        for record in heartbeat.records {
            let (instance, incarnation, state) =
                (record.instance.clone(), record.incarnation, record.state);
            if self.gossip.merge(now, record) {
                self.needs_publish = true;
                let event = ControlEvent::PeerChanged { instance, incarnation, state };
                self.outputs.push(ControlOutput::Event(event));
            }
        }
        for (home, successor) in heartbeat.moved {
            self.record_moved(home, successor);
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
            self.activate_tables(Arc::new(tables), from.as_str());
        } else {
            let message = ControlMessage::TablePull;
            self.outputs.push(ControlOutput::Send { to: from.clone(), message });
        }
    }

    /// Activates tables if they are newer than the active ones, and forwards the change.
    fn activate_tables(&mut self, tables: Arc<TableSet>, source: &str) {
        if tables.revision <= self.tables.revision {
            return;
        }
        let delta = TableDelta::between(&self.tables, &tables);
        let was_ready = self.status().ready;
        let steps = move_steps(&self.tables, &tables);
        self.outputs.extend(steps.into_iter().map(ControlOutput::Event));
        self.tables = tables;
        self.moves.on_tables(&self.tables);
        self.needs_publish = true;
        let event = ControlEvent::TablesInForce {
            revision: self.tables.revision,
            change_id: self.tables.change_id.clone(),
            source: source.to_owned(),
        };
        self.outputs.push(ControlOutput::Event(event));
        if !was_ready && self.status().ready {
            self.outputs.push(ControlOutput::Event(ControlEvent::Ready));
        }
        self.send_to_neighbours(&ControlMessage::TableDelta(Arc::new(delta)));
    }

    fn record_moved(&mut self, home: HomeAddress, successor: HomeAddress) {
        if self.gossip.record_moved(home.clone(), successor.clone()) {
            self.needs_publish = true;
            let event = ControlEvent::LedgerMoved { home, successor };
            self.outputs.push(ControlOutput::Event(event));
        }
    }

    fn send_to_neighbours(&mut self, message: &ControlMessage) {
        for to in self.gossip.neighbours() {
            let (to, message) = (to.clone(), message.clone());
            self.outputs.push(ControlOutput::Send { to, message });
        }
    }
}
