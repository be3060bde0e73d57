use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use kwg_adapter::{ConfigDecoder, EntryDecoder, OrderCodec, StoreRow};
use kwg_clock::ClockHandle;
use kwg_gate::{TargetEntry, TargetId, TargetRegistry};
use kwg_settings::GatewaySettings;
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;

use super::move_desk::MoveTask;
use super::table_mirror::TableMirror;
use crate::gateway_metrics::GatewayMetrics;
use crate::gateway_pipes::TrafficInput;

/// What the tasks of the control thread share. Borrows end before anything is awaited.
#[derive(Debug)]
pub(crate) struct ControlHub {
    pub(crate) settings: GatewaySettings,
    pub(crate) run: u64,
    pub(crate) clock: ClockHandle,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) traffic: Sender<TrafficInput>,
    pub(crate) mirrors: RefCell<HashMap<SharedTable, TableMirror>>,
    pub(crate) registry: RefCell<TargetRegistry>,
    pub(crate) store_answers: RefCell<HashMap<SharedTable, bool>>,
    table_version: Cell<u64>,
    is_reader: Cell<bool>,
    is_speaker: Cell<bool>,
    changes: Sender<TableChanges>,
    move_tasks: Sender<MoveTask>,
}

/// Where the control thread's tasks send what others do.
#[derive(Debug)]
pub(crate) struct ControlPipes {
    pub(crate) traffic: Sender<TrafficInput>,
    pub(crate) changes: Sender<TableChanges>,
    pub(crate) move_tasks: Sender<MoveTask>,
}

/// Changes that the store has told, to be passed on.
#[derive(Debug, Clone)]
pub(crate) struct TableChanges {
    pub(crate) table: SharedTable,
    /// The last change before these.
    pub(crate) base: u64,
    pub(crate) rows: Vec<StoreRow>,
}

impl ControlHub {
    pub(crate) fn new(
        settings: GatewaySettings,
        run: u64,
        clock: ClockHandle,
        metrics: GatewayMetrics,
        pipes: ControlPipes,
    ) -> Self {
        Self {
            settings,
            run,
            clock,
            metrics,
            traffic: pipes.traffic,
            mirrors: RefCell::default(),
            registry: RefCell::default(),
            store_answers: RefCell::default(),
            table_version: Cell::new(0),
            is_reader: Cell::new(true),
            is_speaker: Cell::new(false),
            changes: pipes.changes,
            move_tasks: pipes.move_tasks,
        }
    }

    /// The revision from which the store's feed of a table goes on.
    pub(crate) fn revision(&self, table: SharedTable) -> u64 {
        self.mirrors.borrow().get(&table).map_or(0, TableMirror::revision)
    }

    /// The last change of a table that is known here.
    pub(crate) fn content(&self, table: SharedTable) -> u64 {
        self.mirrors.borrow().get(&table).map_or(0, TableMirror::content)
    }

    /// Whether this instance asks the store itself, or leaves that to others of its domain.
    pub(crate) fn is_reader(&self) -> bool {
        self.is_reader.get()
    }

    /// Whether this instance speaks for its failure domain.
    pub(crate) fn is_speaker(&self) -> bool {
        self.is_speaker.get()
    }

    /// Sets whether this instance speaks for its failure domain.
    pub(crate) fn set_speaker(&self, is_speaker: bool) {
        if self.is_speaker.replace(is_speaker) != is_speaker {
            log::info!("event=speaker-changed speaks={is_speaker}");
        }
    }

    /// Sets whether this instance asks the store itself; returns whether that is a change.
    pub(crate) fn set_reader(&self, is_reader: bool) -> bool {
        let is_change = self.is_reader.replace(is_reader) != is_reader;
        if is_change {
            log::info!("event=reader-changed reads={is_reader}");
        }
        is_change
    }

    /// Whether the store answers for every table.
    pub(crate) fn store_answers(&self) -> bool {
        let answers = self.store_answers.borrow();
        !answers.is_empty() && answers.values().all(|answers| *answers)
    }

    /// Notes whether the store answers, and logs a change of that.
    pub(crate) fn note_store(&self, table: SharedTable, answers: bool, reason: &str) {
        let before = self.store_answers.borrow_mut().insert(table, answers);
        if before == Some(answers) {
            return;
        }
        let event = if answers { "store-regained" } else { "store-lost" };
        let line = EventLine::new(event).field("table", table_name(table));
        log::info!("{}", line.field("revision", self.revision(table)).field("reason", reason));
        if answers && before == Some(false) && table == SharedTable::Targets {
            self.registry.borrow_mut().note_store_return(self.clock.now());
        }
    }

    /// Takes changes that the store tells, and passes them on.
    pub(crate) fn take_feed(&self, table: SharedTable, rows: Vec<StoreRow>, revision: u64) {
        let base = self.content(table);
        let news = self.take_changes(table, rows, revision);
        let changes = TableChanges { table, base, rows: news };
        if !changes.rows.is_empty() && self.changes.try_send(changes).is_err() {
            self.metrics.note_dropped("changes");
        }
    }

    /// Takes changes of a table; returns those that were not known.
    pub(crate) fn take_changes(
        &self,
        table: SharedTable,
        rows: Vec<StoreRow>,
        revision: u64,
    ) -> Vec<StoreRow> {
        let news = {
            let mut mirrors = self.mirrors.borrow_mut();
            mirrors.entry(table).or_default().apply(rows, revision)
        };
        match table {
            SharedTable::Orders => news.iter().for_each(|row| self.take_order(row)),
            SharedTable::Targets => {
                let now = self.clock.now();
                for row in &news {
                    let entry =
                        row.value.as_deref().and_then(|value| decode_entry(&row.key, value));
                    let id = TargetId::new(&row.key);
                    log_target(&id, entry.as_ref(), row.revision);
                    self.registry.borrow_mut().apply(row.revision, &id, entry, now);
                }
                if !news.is_empty() {
                    self.publish_registry();
                }
            }
        }
        news
    }

    /// Takes a full reading of a table, from the store or from a peer.
    pub(crate) fn take_reading(
        &self,
        table: SharedTable,
        rows: Vec<(String, u64, Vec<u8>)>,
        revision: u64,
        source: &str,
    ) {
        let is_news = {
            let mut mirrors = self.mirrors.borrow_mut();
            mirrors.entry(table).or_default().replace(rows.clone(), revision)
        };
        if !is_news {
            return;
        }
        let line = EventLine::new("table-read").field("table", table_name(table));
        let line = line.field("revision", revision).field("rows", rows.len());
        log::info!("{}", line.field("source", source));
        match table {
            SharedTable::Orders => {
                for (key, revision, value) in rows {
                    self.take_order(&StoreRow { key, value: Some(value), revision });
                }
            }
            SharedTable::Targets => {
                let entries: Vec<TargetEntry> =
                    rows.iter().filter_map(|(key, _, value)| decode_entry(key, value)).collect();
                let now = self.clock.now();
                self.registry.borrow_mut().replace(revision, entries, now);
                self.publish_registry();
            }
        }
    }

    /// Drops lapsed targets whose time is over.
    pub(crate) fn expire_targets(&self) {
        let gone = self.registry.borrow_mut().expire(self.clock.now());
        if !gone.is_empty() {
            gone.iter().for_each(|id| log_target(id, None, 0));
            self.publish_registry();
        }
    }

    /// Sends something to the traffic thread. It is gone only when the process ends.
    pub(crate) fn tell_traffic(&self, input: TrafficInput) {
        if self.traffic.try_send(input).is_err() {
            log::debug!("event=traffic-gone");
        }
    }

    /// Gives the move desk something to do.
    pub(crate) fn plan_move(&self, task: MoveTask) {
        if self.move_tasks.try_send(task).is_err() {
            self.metrics.note_dropped("move-task");
        }
    }

    fn take_move(&self, value: &[u8], revision: u64) {
        match OrderCodec::decode(value, revision) {
            Ok(order) => {
                self.tell_traffic(TrafficInput::Order(order.clone(), None));
                self.plan_move(MoveTask::Ordered(order));
            }
            Err(error) => {
                log::error!("event=order-unreadable revision={revision} error=\"{error}\"")
            }
        }
    }

    fn publish_registry(&self) {
        let registry = Arc::new(self.registry.borrow().clone());
        self.tell_traffic(TrafficInput::Registry(registry));
    }

    fn take_order(&self, row: &StoreRow) {
        let Some(value) = row.value.as_deref() else { return };
        if OrderCodec::is_order(&row.key) {
            return self.take_move(value, row.revision);
        }
        if !ConfigDecoder::is_config(&row.key) {
            return;
        }
        match ConfigDecoder::decode(value) {
            Ok(table) if table.version() >= self.table_version.get() => {
                self.table_version.set(table.version());
                self.tell_traffic(TrafficInput::Table(Arc::new(table), row.revision));
            }
            Ok(table) => {
                let line = EventLine::new("table-outdated").field("version", table.version());
                log::info!("{}", line.field("in_force", self.table_version.get()));
            }
            Err(error) => {
                let line = EventLine::new("table-unreadable").field("revision", row.revision);
                log::error!("{}", line.field("error", error));
            }
        }
    }
}

pub(crate) fn table_name(table: SharedTable) -> &'static str {
    match table {
        SharedTable::Orders => "orders",
        SharedTable::Targets => "targets",
    }
}

/// An entry that cannot be read names no target; the others hold.
fn decode_entry(key: &str, value: &[u8]) -> Option<TargetEntry> {
    match EntryDecoder::decode(key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            let line = EventLine::new("entry-unreadable").field("key", key).field("error", error);
            log::warn!("{line}");
            None
        }
    }
}

fn log_target(id: &TargetId, entry: Option<&TargetEntry>, revision: u64) {
    let line = EventLine::new("target-changed").field("target", id).field("revision", revision);
    let line = match entry {
        Some(entry) => line
            .field("service", &entry.service)
            .field("address", entry.address)
            .field("version", &entry.version)
            .field("draining", entry.is_draining),
        None => line.field("gone", true),
    };
    log::info!("{line}");
}
