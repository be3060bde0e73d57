//! Simulated control cores without sockets, sharing one platform.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kwg_decide::{LeaseRow, LeaseWrite, PeerRecord, PeerState};
use kwg_flow::{
    ControlCore, ControlEvent, ControlInput, ControlMessage, ControlOptions, ControlOutput,
    LoadOrder,
};
use kwg_model::{
    DomainName, FleetSnapshot, InstanceKind, InstanceName, InstanceRow, MonoTime, MovePhase,
    PoolName, RegionName, TableSet, VersionMove,
};

/// Control cores connected by a simulated network, with one platform.
pub struct ControlFleet {
    pub now: MonoTime,
    pub cores: BTreeMap<InstanceName, ControlCore>,
    pub snapshots: BTreeMap<InstanceName, Arc<FleetSnapshot>>,
    pub messages: Vec<(InstanceName, InstanceName, ControlMessage)>,
    pub sent: usize,
    pub reads: usize,
    pub tables: TableSet,
    pub store_is_down: bool,
    /// Number of replies to lease writes to drop after the write took effect.
    pub lose_answers: usize,
    pub lease: Option<LeaseRow>,
    /// Highest fencing number that any target has received.
    pub fence: u64,
    pub events: Vec<(InstanceName, ControlEvent)>,
    pub list: (u64, Vec<InstanceRow>),
    /// Routers that no message reaches or leaves.
    pub partitioned: BTreeSet<InstanceName>,
}

pub fn name(number: usize) -> InstanceName {
    InstanceName::new(format!("r{number:03}")).expect("valid")
}

pub fn record(number: usize, incarnation: u64) -> PeerRecord {
    PeerRecord {
        instance: name(number),
        incarnation,
        counter: 0,
        state: PeerState::Serving,
        shards: 1,
        domain: DomainName::new("ost-graz").expect("valid"),
        region: RegionName::new("ost").expect("valid"),
    }
}

pub fn row(name: &str, kind: InstanceKind, leaving: bool) -> InstanceRow {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("valid");
    InstanceRow { name: name.to_owned(), kind, address, admin: None, region: None, leaving }
}

pub fn revision(revision: u64) -> TableSet {
    TableSet { revision, change_id: format!("change {revision}"), ..TableSet::default() }
}

impl ControlFleet {
    pub fn new(routers: usize) -> Self {
        let mut rows: Vec<InstanceRow> = (0..routers)
            .map(|number| row(name(number).as_str(), InstanceKind::Router, false))
            .collect();
        rows.push(row("e1", InstanceKind::Target, false));
        let cores = (0..routers).map(|number| {
            (name(number), ControlCore::new(record(number, 1), ControlOptions::default(), 0))
        });
        Self {
            now: MonoTime::from_millis(1),
            cores: cores.collect(),
            snapshots: BTreeMap::new(),
            messages: Vec::new(),
            sent: 0,
            reads: 0,
            tables: revision(1),
            store_is_down: false,
            lose_answers: 0,
            lease: None,
            fence: 0,
            events: Vec::new(),
            list: (1, rows),
            partitioned: BTreeSet::new(),
        }
    }

    pub fn input(&mut self, router: &InstanceName, input: ControlInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let Some(core) = self.cores.get_mut(router) else { return };
            for output in core.step(self.now, input) {
                match output {
                    ControlOutput::Publish(snapshot) => {
                        self.snapshots.insert(router.clone(), snapshot);
                    }
                    ControlOutput::Send { to, message } => {
                        self.sent += 1;
                        self.messages.push((router.clone(), to, message));
                    }
                    ControlOutput::ReadTables => {
                        self.reads += 1;
                        inputs.push(ControlInput::TablesRead(self.read_tables()));
                    }
                    ControlOutput::ReadInstances => {
                        let list = (!self.store_is_down).then(|| self.list.clone());
                        inputs.push(ControlInput::InstancesRead(list));
                    }
                    ControlOutput::ReadLease => {
                        let lease = (!self.store_is_down).then(|| self.lease.clone());
                        inputs.push(ControlInput::LeaseRead(lease));
                    }
                    ControlOutput::WriteLease(write) => {
                        inputs.push(ControlInput::LeaseWritten(self.write_lease(&write)));
                    }
                    ControlOutput::Order(order) => {
                        // Targets reject orders with an outdated fencing number.
                        let loaded = order.permit.fence() >= self.fence;
                        self.fence = self.fence.max(order.permit.fence());
                        let LoadOrder { pool, target, version, .. } = order;
                        inputs.push(ControlInput::OrderDone { pool, target, version, loaded });
                    }
                    ControlOutput::EditMove { pool, from, to } => {
                        self.edit_move(&pool, &from, *to);
                        inputs.push(ControlInput::EditAttempted);
                        inputs.push(ControlInput::TablesRead(self.read_tables()));
                    }
                    ControlOutput::Event(event) => self.events.push((router.clone(), event)),
                }
            }
        }
    }

    pub fn advance(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(50);
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for (from, to, message) in std::mem::take(&mut self.messages) {
                if !self.partitioned.contains(&from) && !self.partitioned.contains(&to) {
                    self.input(&to, ControlInput::Peer { from, message });
                }
            }
            let routers: Vec<InstanceName> = self.cores.keys().cloned().collect();
            for router in routers {
                if self.cores[&router].next_wake(self.now) <= self.now {
                    self.input(&router, ControlInput::Tick);
                }
            }
        }
    }

    pub fn revisions(&self) -> BTreeSet<u64> {
        self.cores.values().map(|core| core.status().revision).collect()
    }

    fn read_tables(&self) -> Option<TableSet> {
        (!self.store_is_down).then(|| self.tables.clone())
    }

    fn write_lease(&mut self, write: &LeaseWrite) -> Option<bool> {
        if self.store_is_down {
            return None;
        }
        let holds = self.lease == write.expected;
        if holds {
            self.lease = Some(write.row.clone());
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return None;
        }
        Some(holds)
    }

    fn edit_move(&mut self, pool: &PoolName, from: &VersionMove, to: VersionMove) {
        let Some(row) = self.tables.pools.get_mut(pool) else { return };
        if self.store_is_down || row.version_move.as_ref() != Some(from) {
            return;
        }
        if to.phase == MovePhase::Done {
            row.version = to.to.clone();
        }
        row.version_move = Some(to);
        self.tables.revision += 1;
    }
}
