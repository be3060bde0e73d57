use std::io;
use std::rc::Rc;
use std::time::Duration;

use kwg_adapter::{StoreCodec, StoreError, StoreReading, StoreTable, StoreWrite};
use kwg_gate::{FeedCall, StoreRow, TableReading};
use kwg_wire::SharedTable;

use super::control_state::ControlState;
use super::instance_directory::InstanceDirectory;
use super::row_write::RowWrite;
use super::store_link::StoreLink;

/// Makes the calls with which one of the store's tables is followed.
#[derive(Debug)]
pub(crate) struct StoreReader {
    state: Rc<ControlState>,
    table: SharedTable,
    link: StoreLink,
    /// The last write of this instance's row for a check.
    written: Option<RowWrite>,
}

/// Why a call failed.
#[derive(Debug)]
pub(crate) enum FeedError {
    /// The call failed or timed out.
    Call(io::Error),
    /// A peer's newer revision ended the long poll.
    BrokenOff,
    /// The long poll was given up, since the feed of the other table got no reply.
    GivenUp,
    /// The store's reply is an error or does not decode.
    Store(StoreError),
}

impl StoreReader {
    pub(crate) fn new(state: &Rc<ControlState>, table: SharedTable) -> Self {
        let link = StoreLink::new(state.settings.store, state.clock.clone());
        Self { state: Rc::clone(state), table, link, written: None }
    }

    /// Drops the connection to the store if it has been closed since the last call; returns whether it had.
    pub(crate) fn discard_closed(&mut self) -> bool {
        self.link.discard_closed()
    }

    /// Reads the whole table, page by page.
    pub(crate) async fn read(&mut self) -> Result<TableReading, FeedError> {
        let (mut reading, mut from) = (None::<TableReading>, String::new());
        loop {
            let request = StoreCodec::encode_read(store_table(self.table), &from);
            let page = self.call(&request, FeedCall::Read.reply_limit()).await?;
            let last = page.rows.last().map(StoreRow::successor);
            let read = match reading.take() {
                Some(mut read) => {
                    read.add_page(page.rows, page.revision);
                    read
                }
                None => TableReading::new(page.rows, page.revision),
            };
            match last.filter(|_| page.has_more) {
                Some(next) => (reading, from) = (Some(read), next),
                None => return Ok(read),
            }
        }
    }

    /// Reads the whole table. If the store's reads show a row that this instance wrote after the revision
    /// `floor`, before and after that, the reading is proved to show all changes up to that row.
    pub(crate) async fn check(&mut self, floor: u64) -> Result<TableReading, FeedError> {
        let mut shown = self.read_own_row().await?;
        let at = self.state.clock.now();
        let may_show = self.written.is_some_and(|write| write.may_show(floor, at));
        if shown <= floor && !may_show && !self.state.has_left() {
            self.written = self.write_own_row().await?.then_some(RowWrite { floor, at });
            shown = self.read_own_row().await?;
        }
        let reading = self.read().await?;
        if shown <= floor || self.read_own_row().await? < shown {
            return Ok(reading);
        }
        Ok(reading.with_proof(shown))
    }

    /// Waits for changes after the revision `after`.
    pub(crate) async fn follow(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> Result<StoreReading, FeedError> {
        let request = StoreCodec::encode_feed(store_table(self.table), after, wait);
        self.call(&request, FeedCall::Follow { wait }.reply_limit()).await
    }

    /// The revision of this instance's row as the store's reads show it, or 0.
    async fn read_own_row(&mut self) -> Result<u64, FeedError> {
        let key = InstanceDirectory::own_key(&self.state.settings);
        let request = StoreCodec::encode_read_row(StoreTable::Instances, &key);
        let reading = self.call(&request, FeedCall::Read.reply_limit()).await?;
        let row = reading.rows.iter().find(|row| row.key == key);
        Ok(row.map_or(0, |row| row.revision))
    }

    /// Writes this instance's row again; returns whether the store did. That it declines is no failure: the next
    /// check tries again.
    async fn write_own_row(&mut self) -> Result<bool, FeedError> {
        let settings = &self.state.settings;
        let (key, row) =
            (InstanceDirectory::own_key(settings), InstanceDirectory::own_row(settings));
        let write = StoreWrite {
            table: StoreTable::Instances,
            key: &key,
            value: Some(row.as_bytes()),
            expected: None,
            unchanged: None,
        };
        let reply =
            self.link.call(&StoreCodec::encode_write(&write), FeedCall::Read.reply_limit()).await;
        let (status, body) = reply.map_err(FeedError::Call)?;
        let written = StoreCodec::decode_write(status, &body);
        if let Err(error) = &written {
            log::info!("event=own-row-unwritten reason=\"{error}\"");
        }
        Ok(written.is_ok())
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
