use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_adapter::{StoreCodec, StoreError, StoreReading, StoreTable};
use kwg_gate::{CallFailure, FeedCall, ReadingState, StoreFeed, StoreRow};
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;
use rand::random;

use super::control_state::{ControlState, table_name};
use super::store_link::StoreLink;

/// Time limit for a reply, beyond the requested wait of a long poll.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Reads one of the store's tables and then follows its changes by long polling.
#[derive(Debug)]
pub(crate) struct TableFeed {
    state: Rc<ControlState>,
    table: SharedTable,
    link: StoreLink,
    wakeups: Receiver<()>,
}

/// What the store replied.
struct FeedReply {
    /// The revision after which the rows are changes; none if they are the whole table.
    after: Option<u64>,
    rows: Vec<StoreRow>,
    /// The revision up to which they are complete.
    revision: u64,
}

/// Why a read or a long poll failed.
enum FeedError {
    /// The call failed or timed out.
    Call(io::Error),
    /// A peer's newer revision ended the long poll.
    BrokenOff,
    /// The store's reply is an error or does not decode.
    Store(StoreError),
}

impl TableFeed {
    /// Creates a feed. A message on `wakeups` breaks a long poll off; it is sent when a peer has
    /// changes that the store has not delivered here.
    pub(crate) fn new(state: &Rc<ControlState>, table: SharedTable, wakeups: Receiver<()>) -> Self {
        let link = StoreLink::new(state.settings.store, state.clock.clone());
        Self { state: Rc::clone(state), table, link, wakeups }
    }

    /// Reads the table, then follows its changes forever.
    pub(crate) async fn run(mut self) {
        let mut feed = StoreFeed::new();
        loop {
            if self.state.is_filled(self.table) {
                self.wait_store_reader().await;
            }
            let calling = feed.begin(self.state.clock.now());
            let round = match calling.call() {
                FeedCall::Read => self.read().await,
                FeedCall::Follow { wait } => self.follow(wait).await,
            };
            let now = self.state.clock.now();
            let pausing = match round {
                Ok(reply) => {
                    let state = calling.reading_state();
                    let (next, ends_outage) = calling.answered(&self.state.witness.borrow(), now);
                    self.state.record_store_status(self.table, true, "answered");
                    self.state.metrics.record_store_call("answered");
                    // The reply may lack entries that lapsed in the outage.
                    if ends_outage && self.table == SharedTable::Targets {
                        self.state.keep_lapsed_targets();
                    }
                    self.apply(reply, state);
                    feed = next;
                    continue;
                }
                Err(FeedError::BrokenOff) => {
                    let line = EventLine::new("poll-broken-off")
                        .field("table", table_name(self.table))
                        .field("age_ms", now.since(calling.sent()).as_millis());
                    log::info!("{line}");
                    feed = calling.broken_off(&self.state.witness.borrow());
                    continue;
                }
                Err(FeedError::Store(StoreError::HistoryDropped)) => {
                    log::info!("event=history-gone table={}", table_name(self.table));
                    calling.history_dropped(now, random())
                }
                Err(FeedError::Store(error)) => {
                    self.record_failure(&error.to_string());
                    calling.failed(CallFailure::Broken, &self.state.witness.borrow(), now, random())
                }
                Err(FeedError::Call(error)) => {
                    self.record_failure(&error.to_string());
                    let failure = match error.kind() {
                        io::ErrorKind::TimedOut => CallFailure::Unanswered,
                        _ => CallFailure::Broken,
                    };
                    calling.failed(failure, &self.state.witness.borrow(), now, random())
                }
            };
            self.state.clock.sleep_until(pausing.until()).await;
            feed = pausing.resume();
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

    fn apply(&self, reply: FeedReply, state: ReadingState) {
        let FeedReply { after, rows, revision } = reply;
        match after {
            Some(after) => self.state.apply_feed(self.table, rows, after, revision),
            None => self.state.apply_reading(self.table, rows, revision, state),
        }
    }

    /// Reads the whole table, page by page.
    async fn read(&mut self) -> Result<FeedReply, FeedError> {
        let (mut rows, mut from) = (Vec::new(), String::new());
        // Rows of earlier pages may change while later ones are read.
        let mut revision = u64::MAX;
        loop {
            let request = StoreCodec::encode_read(store_table(self.table), &from);
            let reading = self.call(&request, CALL_LIMIT).await?;
            let last = reading.rows.last().map(StoreRow::successor);
            rows.extend(reading.rows);
            revision = revision.min(reading.revision);
            match last.filter(|_| reading.has_more) {
                Some(next) => from = next,
                None => return Ok(FeedReply { after: None, rows, revision }),
            }
        }
    }

    /// Waits for changes after the known revision.
    async fn follow(&mut self, wait: Duration) -> Result<FeedReply, FeedError> {
        let after = self.state.revision(self.table);
        let request = StoreCodec::encode_feed(store_table(self.table), after, wait);
        while self.wakeups.try_recv().is_ok() {}
        let wakeups = self.wakeups.clone();
        let woken = async {
            if wakeups.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            Err(FeedError::BrokenOff)
        };
        let reading = self.call(&request, wait + CALL_LIMIT).or(woken).await?;
        Ok(FeedReply { after: Some(after), rows: reading.rows, revision: reading.revision })
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

#[cfg(test)]
#[path = "../../tests/unit/table_feed.rs"]
mod tests;
