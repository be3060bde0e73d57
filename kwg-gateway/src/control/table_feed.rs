use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_adapter::{StoreCodec, StoreError, StoreReading, StoreTable};
use kwg_model::MonoTime;
use kwg_wire::SharedTable;
use rand::random;

use super::control_hub::{ControlHub, table_name};
use super::store_link::StoreLink;
use super::table_mirror::TableMirror;

/// How long the store may keep a call for changes waiting. A connection that has gone silent is
/// noticed after this time at the latest; peers that are ahead show it sooner.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// Longest time for an answer beyond the wait that was asked for.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// When a table is read again after the store has dropped its history: such a store may give
/// readings that are seconds old.
const RECHECKS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(2_000), Duration::from_millis(5_000)];
/// The first pause after a call that failed; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause between calls: a returned store is noticed well within the time in which
/// changes must be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);

/// Follows one of the store's tables.
#[derive(Debug)]
pub(crate) struct TableFeed {
    hub: Rc<ControlHub>,
    table: SharedTable,
    link: StoreLink,
    nudges: Receiver<()>,
    /// When the table is to be read again.
    checks: Vec<MonoTime>,
}

/// Why a round brought nothing.
enum FeedFault {
    Call(io::Error),
    Store(StoreError),
}

impl TableFeed {
    /// `nudges` ends a wait early: a peer knows more than the store has told here.
    pub(crate) fn new(hub: &Rc<ControlHub>, table: SharedTable, nudges: Receiver<()>) -> Self {
        let link = StoreLink::new(hub.settings.store, hub.clock.clone());
        Self { hub: Rc::clone(hub), table, link, nudges, checks: Vec::new() }
    }

    /// Reads the table, then follows its changes for ever.
    pub(crate) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut needs_reading = true;
        loop {
            if self.hub.mirrors.borrow().get(&self.table).is_some_and(TableMirror::is_filled) {
                self.wait_for_turn().await;
            }
            let now = self.hub.clock.now();
            needs_reading |= self.checks.iter().any(|at| *at <= now);
            self.checks.retain(|at| *at > now);
            let round = match needs_reading {
                true => self.read().await,
                false => self.follow().await,
            };
            match round {
                Ok(()) => {
                    self.hub.note_store(self.table, true, "answered");
                    self.hub.metrics.note_store_call("answered");
                    needs_reading = false;
                    pause = FIRST_PAUSE;
                    continue;
                }
                Err(FeedFault::Store(StoreError::HistoryGone)) => {
                    log::info!("event=history-gone table={}", table_name(self.table));
                    needs_reading = true;
                    let now = self.hub.clock.now();
                    self.checks = RECHECKS.iter().map(|span| now + *span).collect();
                }
                Err(FeedFault::Store(error)) => self.note_failure(&error.to_string()),
                Err(FeedFault::Call(error)) => self.note_failure(&error.to_string()),
            }
            self.hub.clock.sleep(pause.mul_f64(0.75 + 0.5 * random::<f64>())).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Waits for as long as other instances of the domain ask the store.
    async fn wait_for_turn(&self) {
        while !self.hub.is_reader() {
            if self.nudges.recv().await.is_err() {
                return;
            }
        }
    }

    fn note_failure(&self, reason: &str) {
        self.hub.note_store(self.table, false, reason);
        self.hub.metrics.note_store_call("failed");
    }

    /// Reads the whole table, page by page.
    async fn read(&mut self) -> Result<(), FeedFault> {
        let (mut rows, mut from) = (Vec::new(), String::new());
        loop {
            let request = StoreCodec::encode_read(store_table(self.table), &from);
            let reading = self.call(&request, CALL_LIMIT).await?;
            let last = reading.rows.last().map(|row| row.key.clone());
            rows.extend(
                reading
                    .rows
                    .into_iter()
                    .filter_map(|row| row.value.map(|value| (row.key, row.revision, value))),
            );
            match last.filter(|_| reading.has_more) {
                // The smallest key behind the last one.
                Some(last) => from = format!("{last}\0"),
                None => {
                    self.hub.take_reading(self.table, rows, reading.revision, "store");
                    return Ok(());
                }
            }
        }
    }

    async fn follow(&mut self) -> Result<(), FeedFault> {
        let after = self.hub.revision(self.table);
        let now = self.hub.clock.now();
        let until_check = self.checks.iter().map(|at| at.since(now)).min();
        let wait = until_check.map_or(FEED_WAIT, |span| span.min(FEED_WAIT));
        let request = StoreCodec::encode_feed(store_table(self.table), after, wait);
        while self.nudges.try_recv().is_ok() {}
        let nudges = self.nudges.clone();
        let nudged = async {
            if nudges.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            let reason = "a peer is ahead";
            Err(FeedFault::Call(io::Error::new(io::ErrorKind::TimedOut, reason)))
        };
        let reading = self.call(&request, wait + CALL_LIMIT).or(nudged).await?;
        self.hub.take_feed(self.table, reading.rows, reading.revision);
        Ok(())
    }

    async fn call(&mut self, request: &[u8], limit: Duration) -> Result<StoreReading, FeedFault> {
        let (status, body) = self.link.call(request, limit).await.map_err(FeedFault::Call)?;
        StoreCodec::decode_rows(status, &body).map_err(FeedFault::Store)
    }
}

fn store_table(table: SharedTable) -> StoreTable {
    match table {
        SharedTable::Orders => StoreTable::Orders,
        SharedTable::Targets => StoreTable::Targets,
    }
}
