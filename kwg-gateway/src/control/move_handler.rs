use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use kwg_adapter::{OrderCodec, StoreCodec, StoreTable, StoreWrite, WriteReply};
use kwg_gate::{MoveDecision, MovePhase, StoreRow, VersionOrder};
use kwg_wire::SharedTable;

use super::control_state::ControlState;
use super::pending_phases::PendingPhases;
use super::store_link::StoreLink;
use crate::gateway_pipes::TrafficInput;

/// Time limit for a call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before a failed status update is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// A task for the [`MoveHandler`].
#[derive(Debug)]
pub(crate) enum MoveTask {
    /// An order was received: record it as running, unless its status row is further on.
    Ordered(VersionOrder),
    /// A phase was reached: record it in the status row for operators.
    Decided(MoveDecision),
}

/// Reads and writes the status rows of version moves. Every instance that has decided a phase
/// writes it. The end of a move that was recorded first stays: operators stop targets by it. Nor is the row
/// of a later order overwritten by that of an earlier one.
#[derive(Debug)]
pub(crate) struct MoveHandler {
    state: Rc<ControlState>,
    link: StoreLink,
}

impl MoveHandler {
    pub(crate) fn new(state: &Rc<ControlState>) -> Self {
        let link = StoreLink::new(state.settings.store, state.clock.clone());
        Self { state: Rc::clone(state), link }
    }

    /// Handles tasks; retries each until its phase, or a later one, is recorded, or a later order
    /// of the service is known. A task that fails does not hold up those of other services.
    pub(crate) async fn run(mut self, tasks: Receiver<MoveTask>) {
        let mut pending = PendingPhases::default();
        while let Some(task) = self.next_task(&tasks, &pending).await {
            task.into_iter().for_each(|task| pending.add(task));
            while let Ok(task) = tasks.try_recv() {
                pending.add(task);
            }
            for MoveDecision { order, phase, reason } in pending.take() {
                if self.is_obsolete(&order) {
                    continue;
                }
                match self.write_phase(&order, phase).await {
                    Ok(recorded) => {
                        self.state.send_to_traffic(TrafficInput::Order(order, Some(recorded)));
                    }
                    Err(error) => {
                        log::info!(
                            "event=move-unwritten service={} reason=\"{error}\"",
                            order.service
                        );
                        pending.keep(MoveDecision { order, phase, reason });
                    }
                }
            }
        }
    }

    /// Waits for a task or, if some are to be retried, at most for [`RETRY_PAUSE`]. The outer `None` is the
    /// end of the queue.
    async fn next_task(
        &self,
        tasks: &Receiver<MoveTask>,
        pending: &PendingPhases,
    ) -> Option<Option<MoveTask>> {
        let task = async { tasks.recv().await.ok().map(Some) };
        if pending.is_empty() {
            return task.await;
        }
        let pause = async {
            self.state.clock.sleep(RETRY_PAUSE).await;
            Some(None)
        };
        task.or(pause).await
    }

    /// Whether an order was replaced by a later one.
    fn is_obsolete(&self, order: &VersionOrder) -> bool {
        let key = OrderCodec::status_key(&order.service);
        self.state.row_revision(SharedTable::Orders, &key) > order.revision
    }

    /// Writes a phase unless the row has the same one or an end of the order's move; returns the
    /// recorded phase.
    async fn write_phase(
        &mut self,
        order: &VersionOrder,
        phase: MovePhase,
    ) -> Result<MovePhase, String> {
        // After a first conflict another instance has usually written the row: read it again.
        for _ in 0..2 {
            let row = self.read(order).await?;
            let recorded = row.as_ref().and_then(|row| OrderCodec::recorded_phase(order, row));
            let recorded = recorded.map(MovePhase::recorded);
            if let Some(recorded) = recorded.filter(|recorded| *recorded >= phase) {
                return Ok(recorded);
            }
            let key = OrderCodec::status_key(&order.service);
            let value = OrderCodec::encode_status(order, phase);
            let write = StoreWrite {
                table: StoreTable::Status,
                key: &key,
                value: Some(value.as_slice()),
                expected: Some(row.map_or(0, |row| row.revision)),
                unchanged: Some(OrderCodec::order_row(order, &key)),
            };
            let (status, body) = self.call(&StoreCodec::encode_write(&write)).await?;
            match StoreCodec::decode_write(status, &body).map_err(|error| error.to_string())? {
                WriteReply::Done => return Ok(phase.recorded()),
                WriteReply::Conflict(_) => {}
            }
        }
        Err("the status row or the order has changed".to_owned())
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

#[cfg(test)]
#[path = "../../tests/unit/move_handler.rs"]
mod tests;
