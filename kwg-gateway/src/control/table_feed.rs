use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_adapter::{StoreError, StoreReading};
use kwg_gate::{
    CallFailure, Calling, FeedCall, Pausing, ReadPurpose, StoreFeed, TableReading, Waiting,
};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;
use rand::random;

use super::control_state::{ControlState, table_name};
use super::feed_alarm::FeedAlarm;
use super::store_reader::{FeedError, StoreReader};

/// Reads one of the store's tables, follows its changes by long polling, and checks what it knows.
#[derive(Debug)]
pub(crate) struct TableFeed {
    state: Rc<ControlState>,
    table: SharedTable,
    reader: StoreReader,
    wakeups: Receiver<()>,
    alarm: FeedAlarm,
}

/// What the store replied.
enum FeedReply {
    /// Changes after the revision `after`.
    Changes { after: u64, reading: StoreReading },
    /// The whole table.
    Table(TableReading, ReadPurpose),
}

impl TableFeed {
    /// Creates a feed. A message on `wakeups` breaks a long poll off; it is sent when a peer has
    /// changes that the store has not delivered here.
    pub(crate) fn new(
        state: &Rc<ControlState>,
        table: SharedTable,
        wakeups: Receiver<()>,
        alarm: FeedAlarm,
    ) -> Self {
        let reader = StoreReader::new(state, table);
        Self { state: Rc::clone(state), table, reader, wakeups, alarm }
    }

    /// Reads the table, then follows its changes forever.
    pub(crate) async fn run(mut self) {
        let mut feed = StoreFeed::new();
        loop {
            if self.state.is_filled(self.table) {
                self.wait_store_reader().await;
            }
            let now = self.state.clock.now();
            // The feed may have lacked changes before its connection was closed.
            if self.reader.discard_closed() {
                log::info!("event=poll-connection-closed table={}", table_name(self.table));
                feed = feed.plan_checks(self.state.revision(self.table), now);
            }
            let calling = feed.begin(now, random());
            let round = self.call(&calling).await;
            let now = self.state.clock.now();
            let pausing = match round {
                Ok(reply) => {
                    feed = self.record_reply(calling, reply, now);
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
                Err(FeedError::GivenUp) => {
                    let line = EventLine::new("poll-given-up")
                        .field("table", table_name(self.table))
                        .field("age_ms", now.since(calling.sent()).as_millis());
                    log::info!("{line}");
                    feed = calling.given_up().plan_checks(self.state.revision(self.table), now);
                    continue;
                }
                Err(FeedError::Store(StoreError::HistoryDropped)) => {
                    log::info!("event=history-gone table={}", table_name(self.table));
                    calling.history_dropped(now, random())
                }
                Err(FeedError::Store(error)) => {
                    self.record_failure(calling, CallFailure::Broken, &error.to_string(), now)
                }
                Err(FeedError::Call(error)) => {
                    let failure = match error.kind() {
                        io::ErrorKind::TimedOut => CallFailure::Unanswered,
                        _ => CallFailure::Broken,
                    };
                    self.record_failure(calling, failure, &error.to_string(), now)
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

    async fn call(&mut self, calling: &StoreFeed<Calling>) -> Result<FeedReply, FeedError> {
        match calling.call() {
            FeedCall::Read => {
                let reading = self.reader.read().await?;
                Ok(FeedReply::Table(reading, ReadPurpose::Start))
            }
            FeedCall::Check { floor } => {
                let reading = self.reader.check(floor).await?;
                Ok(FeedReply::Table(reading, ReadPurpose::Check))
            }
            FeedCall::Follow { wait } => self.follow(calling, wait).await,
        }
    }

    /// Waits for changes after the known revision.
    async fn follow(
        &mut self,
        calling: &StoreFeed<Calling>,
        wait: Duration,
    ) -> Result<FeedReply, FeedError> {
        let after = self.state.revision(self.table);
        while self.wakeups.try_recv().is_ok() {}
        let wakeups = self.wakeups.clone();
        let woken = async {
            if wakeups.recv().await.is_err() {
                std::future::pending::<()>().await;
            }
            Err(FeedError::BrokenOff)
        };
        let alarmed = async {
            while !calling.is_suspect(self.alarm.wait().await) {}
            Err(FeedError::GivenUp)
        };
        let reading = self.reader.follow(after, wait).or(woken).or(alarmed).await?;
        Ok(FeedReply::Changes { after, reading })
    }

    fn record_reply(
        &self,
        calling: StoreFeed<Calling>,
        reply: FeedReply,
        now: MonoTime,
    ) -> StoreFeed<Waiting> {
        let (feed, ends_outage) = calling.answered(&self.state.witness.borrow(), now);
        self.state.record_store_status(self.table, true, "answered");
        self.state.metrics.record_store_call("answered");
        // The reply may lack entries that lapsed in the outage.
        if ends_outage && self.table == SharedTable::Targets {
            self.state.keep_lapsed_targets();
        }
        match reply {
            FeedReply::Changes { after, reading } => {
                self.state.apply_feed(self.table, reading.rows, after, reading.revision);
                feed
            }
            FeedReply::Table(reading, purpose) => {
                let feed = match purpose {
                    ReadPurpose::Start => feed.plan_checks(reading.revision(), now),
                    ReadPurpose::Check => feed.record_check(reading.proved(), now),
                };
                self.state.apply_reading(self.table, reading, purpose);
                if let Some(plan) = feed.next_check() {
                    let line = EventLine::new("check-planned")
                        .field("table", table_name(self.table))
                        .field("floor", plan.floor())
                        .field("in_ms", plan.time_left(now).as_millis());
                    log::info!("{line}");
                }
                feed
            }
        }
    }

    fn record_failure(
        &self,
        calling: StoreFeed<Calling>,
        failure: CallFailure,
        reason: &str,
        now: MonoTime,
    ) -> StoreFeed<Pausing> {
        self.state.record_store_status(self.table, false, reason);
        self.state.metrics.record_store_call("failed");
        if failure == CallFailure::Unanswered {
            self.alarm.raise(calling.due().min(now));
        }
        let pausing = calling.failed(failure, &self.state.witness.borrow(), now, random());
        pausing.plan_checks(self.state.revision(self.table), now)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/table_feed.rs"]
mod tests;
