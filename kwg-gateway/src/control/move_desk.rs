use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use kwg_adapter::{OrderCodec, StoreCodec, StoreRow, StoreTable, StoreWrite, WriteReply};
use kwg_gate::{MoveDecision, MovePhase, VersionOrder};
use kwg_telemetry::EventLine;

use super::control_hub::ControlHub;
use super::store_link::StoreLink;
use crate::gateway_pipes::TrafficInput;

/// Longest time for an answer of the store.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// What is to be done about a move.
#[derive(Debug)]
pub(crate) enum MoveTask {
    /// An order has come: its status is to be read.
    Ordered(VersionOrder),
    /// A phase has been reached: operators are to be told.
    Decided(MoveDecision),
}

/// Reads and writes the status rows of moves. Every instance that has the proof writes; a status
/// that says more is never overwritten.
#[derive(Debug)]
pub(crate) struct MoveDesk {
    hub: Rc<ControlHub>,
    link: StoreLink,
}

impl MoveDesk {
    pub(crate) fn new(hub: &Rc<ControlHub>) -> Self {
        let link = StoreLink::new(hub.settings.store, hub.clock.clone());
        Self { hub: Rc::clone(hub), link }
    }

    /// Does tasks one after the other, each until the store has answered.
    pub(crate) async fn run(mut self, tasks: Receiver<MoveTask>) {
        while let Ok(task) = tasks.recv().await {
            let (order, phase, reason) = match task {
                MoveTask::Ordered(order) => (order, MovePhase::Running, "ordered".to_owned()),
                MoveTask::Decided(decision) => (decision.order, decision.phase, decision.reason),
            };
            let line = EventLine::new("move-phase").field("service", &order.service);
            let line = line.field("to", &order.to).field("phase", phase.as_str());
            log::info!("{}", line.field("reason", &reason));
            loop {
                match self.settle(&order, phase).await {
                    Ok(known) => {
                        self.hub.tell_traffic(TrafficInput::Order(order, Some(known)));
                        break;
                    }
                    Err(reason) => {
                        log::info!(
                            "event=move-unwritten service={} reason=\"{reason}\"",
                            order.service
                        );
                        self.hub.clock.sleep(PAUSE).await;
                    }
                }
            }
        }
    }

    /// Writes a phase unless a later one is there; returns the phase that holds.
    async fn settle(
        &mut self,
        order: &VersionOrder,
        phase: MovePhase,
    ) -> Result<MovePhase, String> {
        loop {
            let row = self.read(order).await?;
            let value = row.as_ref().and_then(|row| row.value.as_deref());
            let known = value.and_then(|value| OrderCodec::decode_status(order, value));
            if let Some(known) = known.filter(|known| *known >= phase) {
                return Ok(known);
            }
            let key = OrderCodec::status_key(&order.service);
            let value = OrderCodec::encode_status(order, phase);
            let expected = Some(row.map_or(0, |row| row.revision));
            let (table, value) = (StoreTable::Status, Some(value.as_slice()));
            let write = StoreWrite { table, key: &key, value, expected };
            let (status, body) = self.call(&StoreCodec::encode_write(&write)).await?;
            match StoreCodec::decode_write(status, &body).map_err(|error| error.to_string())? {
                WriteReply::Done => return Ok(phase),
                // Another instance was faster: its word is read.
                WriteReply::Conflict(_) => {}
            }
        }
    }

    async fn read(&mut self, order: &VersionOrder) -> Result<Option<StoreRow>, String> {
        let key = OrderCodec::status_key(&order.service);
        let (status, body) = self.call(&StoreCodec::encode_read(StoreTable::Status, &key)).await?;
        let reading = StoreCodec::decode_rows(status, &body).map_err(|error| error.to_string())?;
        Ok(reading.rows.into_iter().find(|row| row.key == key))
    }

    async fn call(&mut self, request: &[u8]) -> Result<(u16, Vec<u8>), String> {
        self.link.call(request, CALL_LIMIT).await.map_err(|error| error.to_string())
    }
}
