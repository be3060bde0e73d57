use std::sync::Arc;

use kwg_adapter::{ConfigDecoder, OrderCodec};
use kwg_gate::{MoveDecision, MoveReport, StoreRow};
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;

use super::control_state::ControlState;
use super::move_handler::MoveTask;
use crate::gateway_pipes::TrafficInput;

impl ControlState {
    /// Queues the end of a move that another instance has decided, if its order is known.
    pub(crate) fn queue_end(&self, report: &MoveReport) {
        let order = {
            let (replicas, key) = (self.replicas.borrow(), OrderCodec::status_key(&report.service));
            let replica = replicas.get(&SharedTable::Orders);
            let value = replica.and_then(|replica| replica.mirror().row(&key, report.revision));
            value.and_then(|value| OrderCodec::decode(value, report.revision).ok())
        };
        if let Some(order) = order {
            let reason = "reported by a peer".to_owned();
            self.queue_move(MoveTask::Decided(MoveDecision { order, phase: report.phase, reason }));
        }
    }

    /// Passes an order of a version move to the traffic thread and the move handler.
    fn apply_move_order(&self, value: &[u8], revision: u64) {
        match OrderCodec::decode(value, revision) {
            Ok(order) => {
                self.send_to_traffic(TrafficInput::Order(order.clone(), None));
                self.queue_move(MoveTask::Ordered(order));
            }
            Err(error) => {
                log::error!("event=order-unreadable revision={revision} error=\"{error}\"")
            }
        }
    }

    /// Applies a row of the orders table: an order of a version move or the configuration. Logs and
    /// skips a configuration that is unreadable or older than the one in force.
    pub(super) fn apply_order_row(&self, row: &StoreRow) {
        let Some(value) = row.value.as_deref() else { return };
        if OrderCodec::is_order(&row.key) {
            return self.apply_move_order(value, row.revision);
        }
        if !ConfigDecoder::is_config(&row.key) {
            return;
        }
        match ConfigDecoder::decode(value) {
            Ok(table) if table.version() >= self.table_version.get() => {
                self.table_version.set(table.version());
                for error in ConfigDecoder::unusable_parts(value) {
                    let line =
                        EventLine::new("table-part-unusable").field("revision", row.revision);
                    log::error!("{}", line.field("error", error));
                }
                self.send_to_traffic(TrafficInput::Table(Arc::new(table), row.revision));
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
