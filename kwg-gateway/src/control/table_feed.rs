use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_adapter::{StoreCodec, StoreError, StoreReading, StoreRow, StoreTable};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;
use rand::random;

use super::control_state::{ControlState, table_name};
use super::store_link::StoreLink;
use super::table_mirror::TableMirror;

/// How long the store may hold a long poll for changes. A dead connection is detected after
/// this time and [`CALL_LIMIT`] at the latest, or sooner if a peer reports a newer revision.
const FEED_WAIT: Duration = Duration::from_secs(8);
/// Time limit for a reply, beyond the requested wait of a long poll.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Times after a dropped history at which a table is read in full again, because the store's reads
/// may be stale for seconds then.
const RECHECKS: [Duration; 3] =
    [Duration::from_millis(700), Duration::from_millis(2_000), Duration::from_millis(5_000)];
/// The pause after a first failed call; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause between calls, short enough to detect a recovered store well within the
/// time limit for changes to take effect.
const MAX_PAUSE: Duration = Duration::from_millis(1_200);

/// Reads one of the store's tables and then follows its changes by long polling.
#[derive(Debug)]
pub(crate) struct TableFeed {
    state: Rc<ControlState>,
    table: SharedTable,
    link: StoreLink,
    wakeups: Receiver<()>,
    /// When the table is to be read in full again.
    rechecks: Vec<MonoTime>,
}

/// Why a read or a long poll failed.
enum FeedError {
    /// The call failed or timed out, or a peer's newer revision ended the long poll.
    Call(io::Error),
    /// The store's reply is an error or does not decode.
    Store(StoreError),
}

impl TableFeed {
    /// Creates a feed. A message on `wakeups` ends a long poll early; it is sent when a peer has
    /// changes that the store has not delivered here.
    pub(crate) fn new(state: &Rc<ControlState>, table: SharedTable, wakeups: Receiver<()>) -> Self {
        let link = StoreLink::new(state.settings.store, state.clock.clone());
        Self { state: Rc::clone(state), table, link, wakeups, rechecks: Vec::new() }
    }

    /// Reads the table, then follows its changes forever.
    pub(crate) async fn run(mut self) {
        let mut pause = MIN_PAUSE;
        let mut needs_reading = true;
        loop {
            if self.state.mirrors.borrow().get(&self.table).is_some_and(TableMirror::is_filled) {
                self.wait_store_reader().await;
            }
            let now = self.state.clock.now();
            needs_reading |= self.rechecks.iter().any(|at| *at <= now);
            self.rechecks.retain(|at| *at > now);
            let round = match needs_reading {
                true => self.read().await,
                false => self.follow().await,
            };
            match round {
                Ok(()) => {
                    self.state.record_store_status(self.table, true, "answered");
                    self.state.metrics.record_store_call("answered");
                    needs_reading = false;
                    pause = MIN_PAUSE;
                    continue;
                }
                Err(FeedError::Store(StoreError::HistoryDropped)) => {
                    log::info!("event=history-gone table={}", table_name(self.table));
                    needs_reading = true;
                    let now = self.state.clock.now();
                    self.rechecks = RECHECKS.iter().map(|span| now + *span).collect();
                }
                Err(FeedError::Store(error)) => self.record_failure(&error.to_string()),
                Err(FeedError::Call(error)) => self.record_failure(&error.to_string()),
            }
            self.state.clock.sleep(pause.mul_f64(0.75 + 0.5 * random::<f64>())).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Waits while this instance is not a store reader.
    async fn wait_store_reader(&self) {
        while !self.state.is_store_reader() {
            if self.wakeups.recv().await.is_err() {
                return;
            }
        }
    }

    fn record_failure(&self, reason: &str) {
        self.state.record_store_status(self.table, false, reason);
        self.state.metrics.record_store_call("failed");
    }

    /// Reads the whole table, page by page, and applies it.
    async fn read(&mut self) -> Result<(), FeedError> {
        let (mut rows, mut from) = (Vec::new(), String::new());
        loop {
            let request = StoreCodec::encode_read(store_table(self.table), &from);
            let reading = self.call(&request, CALL_LIMIT).await?;
            let last = reading.rows.last().map(StoreRow::successor);
            rows.extend(
                reading
                    .rows
                    .into_iter()
                    .filter_map(|row| row.value.map(|value| (row.key, row.revision, value))),
            );
            match last.filter(|_| reading.has_more) {
                Some(next) => from = next,
                None => {
                    self.state.apply_snapshot(self.table, rows, reading.revision, "store");
                    return Ok(());
                }
            }
        }
    }

    /// Waits for changes after the known revision and applies them.
    async fn follow(&mut self) -> Result<(), FeedError> {
        let after = self.state.revision(self.table);
        let now = self.state.clock.now();
        let until_recheck = self.rechecks.iter().map(|at| at.since(now)).min();
        let wait = until_recheck.map_or(FEED_WAIT, |span| span.min(FEED_WAIT));
        let request = StoreCodec::encode_feed(store_table(self.table), after, wait);
        while self.wakeups.try_recv().is_ok() {}
        let (wakeups, state, table) = (self.wakeups.clone(), Rc::clone(&self.state), self.table);
        let woken = async {
            if wakeups.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            let line = EventLine::new("poll-broken-off").field("table", table_name(table));
            let age = state.clock.now().since(now);
            log::info!("{}", line.field("age_ms", age.as_millis()));
            let reason = "a peer is ahead";
            Err(FeedError::Call(io::Error::new(io::ErrorKind::TimedOut, reason)))
        };
        let reading = self.call(&request, wait + CALL_LIMIT).or(woken).await?;
        self.state.apply_feed(self.table, reading.rows, reading.revision);
        Ok(())
    }

    async fn call(&mut self, request: &[u8], limit: Duration) -> Result<StoreReading, FeedError> {
        let (status, body) = self.link.call(request, limit).await.map_err(FeedError::Call)?;
        StoreCodec::decode_rows(status, &body).map_err(FeedError::Store)
    }
}

fn store_table(table: SharedTable) -> StoreTable {
    match table {
        SharedTable::Orders => StoreTable::Orders,
        SharedTable::Targets => StoreTable::Targets,
    }
}
