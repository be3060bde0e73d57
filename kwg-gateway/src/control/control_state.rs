use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use kwg_clock::ClockHandle;
use kwg_gate::{
    AppliedChanges, EvacuatedDomains, PullReply, ReadPurpose, RowChanges, StoreRow, StoreWitness,
    TableCopy, TableMirror, TableReading, TableReplica, TargetId, TargetRegistry,
};
use kwg_model::MonoTime;
use kwg_settings::GatewaySettings;
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;

use super::move_handler::MoveTask;
use super::target_log::{decode_entry, log_if_held, log_target};
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficInput;

/// State shared by the tasks of the control thread. `RefCell` borrows end before any await.
#[derive(Debug)]
pub(crate) struct ControlState {
    pub(crate) settings: GatewaySettings,
    /// Random id of this run of the process.
    pub(crate) run_id: u64,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) traffic: Sender<TrafficInput>,
    pub(crate) replicas: RefCell<HashMap<SharedTable, TableReplica>>,
    pub(crate) registry: RefCell<TargetRegistry>,
    /// Whether the store answered the last call for each table.
    pub(crate) store_available: RefCell<HashMap<SharedTable, bool>>,
    /// What peers show of the store.
    pub(crate) witness: RefCell<StoreWitness>,
    pub(super) table_version: Cell<u64>,
    pub(super) evacuated: RefCell<EvacuatedDomains>,
    is_store_reader: Cell<bool>,
    is_relay: Cell<bool>,
    has_left: Cell<bool>,
    changes: Sender<TableChanges>,
    move_tasks: Sender<MoveTask>,
}

/// Senders that the tasks of the control thread use.
#[derive(Debug)]
pub(crate) struct ControlPipes {
    pub(crate) traffic: Sender<TrafficInput>,
    pub(crate) changes: Sender<TableChanges>,
    pub(crate) move_tasks: Sender<MoveTask>,
}

/// Changes from the store's feed, to be forwarded to peers.
#[derive(Debug, Clone)]
pub(crate) struct TableChanges {
    pub(crate) table: SharedTable,
    pub(crate) changes: RowChanges,
}

impl ControlState {
    pub(crate) fn new(
        settings: GatewaySettings,
        run_id: u64,
        clock: ClockHandle,
        metrics: GatewayMetrics,
        pipes: ControlPipes,
    ) -> Self {
        Self {
            settings,
            run_id,
            clock,
            metrics,
            traffic: pipes.traffic,
            replicas: RefCell::default(),
            registry: RefCell::default(),
            store_available: RefCell::default(),
            witness: RefCell::default(),
            table_version: Cell::new(0),
            evacuated: RefCell::default(),
            is_store_reader: Cell::new(false),
            is_relay: Cell::new(false),
            has_left: Cell::new(false),
            changes: pipes.changes,
            move_tasks: pipes.move_tasks,
        }
    }

    /// The revision after which the store's feed of a table continues.
    pub(crate) fn revision(&self, table: SharedTable) -> u64 {
        self.mirror(table, TableMirror::revision)
    }

    /// The revision of the last known change of a table.
    pub(crate) fn content_revision(&self, table: SharedTable) -> u64 {
        self.mirror(table, TableMirror::content_revision)
    }

    /// The revision up to which all changes of a table are known.
    pub(crate) fn covered_revision(&self, table: SharedTable) -> u64 {
        self.mirror(table, TableMirror::covered_revision)
    }

    /// The revision of a row of a table, or 0 if it is not known.
    pub(crate) fn row_revision(&self, table: SharedTable, key: &str) -> u64 {
        self.mirror(table, |mirror| mirror.row_revision(key))
    }

    /// Whether a full copy of a table is known.
    pub(crate) fn is_filled(&self, table: SharedTable) -> bool {
        self.mirror(table, TableMirror::is_filled)
    }

    fn mirror<T: Default>(&self, table: SharedTable, read: impl Fn(&TableMirror) -> T) -> T {
        let replicas = self.replicas.borrow();
        replicas.get(&table).map_or_else(T::default, |replica| read(replica.mirror()))
    }

    /// Whether this instance follows the store itself; false until it knows the other instances.
    /// Otherwise the store readers of its failure domain forward changes to it.
    pub(crate) fn is_store_reader(&self) -> bool {
        self.is_store_reader.get()
    }

    /// Whether this instance is the domain relay: the one that sends the digest sum of its failure
    /// domain to the other domains.
    pub(crate) fn is_relay(&self) -> bool {
        self.is_relay.get()
    }

    /// Sets whether this instance is the domain relay; logs a change and returns whether there was
    /// one.
    pub(crate) fn set_relay(&self, is_relay: bool) -> bool {
        let is_change = self.is_relay.replace(is_relay) != is_relay;
        if is_change {
            log::info!("event=speaker-changed speaks={is_relay}");
        }
        is_change
    }

    /// Sets whether this instance reads the store itself; logs a change and returns whether there
    /// was one.
    pub(crate) fn set_store_reader(&self, is_store_reader: bool) -> bool {
        let is_change = self.is_store_reader.replace(is_store_reader) != is_store_reader;
        if is_change {
            log::info!("event=reader-changed reads={is_store_reader}");
        }
        is_change
    }

    /// Whether this instance has left the fleet: its row in the store is removed.
    pub(crate) fn has_left(&self) -> bool {
        self.has_left.get()
    }

    /// Records that this instance leaves the fleet.
    pub(crate) fn leave(&self) {
        self.has_left.set(true);
    }

    /// Whether the store answered the last call for every table; false before the first call.
    pub(crate) fn is_store_available(&self) -> bool {
        let available = self.store_available.borrow();
        !available.is_empty() && available.values().all(|is_available| *is_available)
    }

    /// Keeps targets whose entries are removed soon, since these may have lapsed in the outage of the
    /// store that has just ended.
    pub(crate) fn keep_lapsed_targets(&self) {
        self.registry.borrow_mut().record_store_return(self.clock.now());
        log::info!("event=grace-began");
    }

    /// Records whether the store answered a call for a table, and logs a change.
    pub(crate) fn record_store_status(&self, table: SharedTable, answers: bool, reason: &str) {
        let before = self.store_available.borrow_mut().insert(table, answers);
        if before == Some(answers) {
            return;
        }
        let event = if answers { "store-regained" } else { "store-lost" };
        let line = EventLine::new(event).field("table", table_name(table));
        log::info!("{}", line.field("revision", self.revision(table)).field("reason", reason));
    }

    /// Applies changes from the store's feed and queues the new ones for forwarding to peers.
    pub(crate) fn apply_feed(
        &self,
        table: SharedTable,
        rows: Vec<StoreRow>,
        after: u64,
        revision: u64,
    ) {
        let base = self.mirror(table, TableMirror::change_bound);
        let new_rows =
            self.with_replica(table, |replica| replica.apply_feed(rows, after, revision));
        self.use_rows(table, &new_rows, "store");
        let last = new_rows.iter().map(|row| row.revision).max();
        if let Some(revision) = last {
            self.queue_changes(table, RowChanges { base, revision, rows: new_rows });
        }
    }

    /// Queues changes for forwarding to peers.
    fn queue_changes(&self, table: SharedTable, changes: RowChanges) {
        if self.changes.try_send(TableChanges { table, changes }).is_err() {
            self.metrics.record_drop("changes");
        }
    }

    /// Applies changes that a peer knows.
    pub(crate) fn apply_changes(
        &self,
        table: SharedTable,
        changes: RowChanges,
        peer: &str,
    ) -> AppliedChanges {
        let applied = self.with_replica(table, |replica| replica.apply_changes(changes));
        self.use_rows(table, &applied.rows, peer);
        applied
    }

    /// Applies a full reading of a table, and queues what a check has found for forwarding to peers.
    pub(crate) fn apply_reading(
        &self,
        table: SharedTable,
        reading: TableReading,
        purpose: ReadPurpose,
    ) {
        let (revision, proved, count) =
            (reading.revision(), reading.proved(), reading.rows().len());
        let was_filled = self.is_filled(table);
        let changed = self.with_replica(table, |replica| replica.apply_reading(reading, purpose));
        let line = EventLine::new("table-read").field("table", table_name(table));
        let line = line.field("revision", revision).field("proved", proved);
        let line = line.field("rows", count).field("news", changed.len());
        log::info!("{}", line.field("source", "store"));
        self.use_rows(table, &changed, "store");
        if was_filled && !changed.is_empty() {
            // They show the rows that they name and nothing else.
            self.queue_changes(table, RowChanges { base: 0, revision: 0, rows: changed });
        }
    }

    /// Applies a peer's copy of a table; returns whether it was applied, as it is not if it is outdated.
    pub(crate) fn apply_copy(&self, table: SharedTable, copy: TableCopy, peer: &str) -> bool {
        let (revision, count) = (copy.revision, copy.rows.len());
        let changed = self.with_replica(table, |replica| replica.apply_copy(copy));
        let Some(changed) = changed else { return false };
        let line = EventLine::new("table-read").field("table", table_name(table));
        let line = line.field("revision", revision).field("rows", count);
        log::info!("{}", line.field("source", peer));
        self.use_rows(table, &changed, peer);
        true
    }

    /// The reply to a peer that knows all changes of a table up to the revision `known`.
    pub(crate) fn answer_pull(&self, table: SharedTable, known: u64) -> Option<PullReply> {
        let replicas = self.replicas.borrow();
        replicas.get(&table).and_then(|replica| replica.answer_pull(known))
    }

    /// Whether to pull a copy of a table from a peer whose last known change is `reported`.
    pub(crate) fn should_pull(&self, table: SharedTable, reported: u64, now: MonoTime) -> bool {
        let answers = self.is_store_available();
        self.with_replica(table, |replica| replica.should_pull(reported, answers, now))
    }

    fn with_replica<T>(&self, table: SharedTable, apply: impl FnOnce(&mut TableReplica) -> T) -> T {
        apply(self.replicas.borrow_mut().entry(table).or_default())
    }

    /// Puts changed rows in force and updates the traffic thread. `source` is the store or the name of
    /// a peer.
    fn use_rows(&self, table: SharedTable, rows: &[StoreRow], source: &str) {
        match table {
            SharedTable::Orders => {
                // Before a configuration that lets requests be sent.
                self.apply_evacuations(rows, source);
                rows.iter().for_each(|row| self.apply_order_row(row));
            }
            SharedTable::Targets => {
                let now = self.clock.now();
                for row in rows {
                    let entry =
                        row.value.as_deref().and_then(|value| decode_entry(&row.key, value));
                    let id = TargetId::new(&row.key);
                    log_target(&id, entry.as_ref(), row.revision, source);
                    let mut registry = self.registry.borrow_mut();
                    registry.apply(row.revision, &id, entry, now);
                    log_if_held(&registry, &id, now);
                }
                if !rows.is_empty() {
                    self.publish_registry();
                }
            }
        }
    }

    /// Removes lapsed targets whose grace period has ended.
    pub(crate) fn expire_targets(&self) {
        let removed = self.registry.borrow_mut().expire(self.clock.now());
        if !removed.is_empty() {
            removed.iter().for_each(|id| log_target(id, None, 0, "grace-over"));
            self.publish_registry();
        }
    }

    /// Sends a message to the traffic thread. Its receiver is closed only while the process exits.
    pub(crate) fn send_to_traffic(&self, input: TrafficInput) {
        if self.traffic.try_send(input).is_err() {
            log::debug!("event=traffic-gone");
        }
    }

    /// Queues a task for the [`MoveHandler`](super::move_handler::MoveHandler).
    pub(crate) fn queue_move(&self, task: MoveTask) {
        if self.move_tasks.try_send(task).is_err() {
            self.metrics.record_drop("move-task");
        }
    }

    /// Sends a copy of the target registry to the traffic thread.
    fn publish_registry(&self) {
        let registry = Arc::new(self.registry.borrow().clone());
        self.send_to_traffic(TrafficInput::Registry(registry));
    }
}

/// The name of a table in log lines.
pub(crate) fn table_name(table: SharedTable) -> &'static str {
    match table {
        SharedTable::Orders => "orders",
        SharedTable::Targets => "targets",
    }
}
