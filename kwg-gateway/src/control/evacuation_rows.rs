use kwg_adapter::OrderCodec;
use kwg_gate::{EvacuatedDomains, StoreRow};
use kwg_telemetry::EventLine;
use kwg_wire::SharedTable;

use super::control_state::ControlState;
use crate::gateway_pipes::TrafficInput;

impl ControlState {
    /// Puts the evacuations in force that the copy of the orders table has after `rows` have changed, and logs
    /// those that have begun or ended. `source` is the store or the name of a peer. The copy decides: no stale
    /// reading takes a later row, or the removal of one, back.
    pub(super) fn apply_evacuations(&self, rows: &[StoreRow], source: &str) {
        let mut changed = Vec::new();
        for row in rows {
            match OrderCodec::evacuated_domain(&row.key) {
                Some(Ok(domain)) => changed.push((domain, row.revision)),
                Some(Err(error)) if row.value.is_some() => {
                    let line = EventLine::new("evacuation-unreadable");
                    let line = line.field("revision", row.revision).field("error", error);
                    log::error!("{line}");
                }
                Some(Err(_)) | None => {}
            }
        }
        if changed.is_empty() {
            return;
        }
        let domains = self.known_evacuations();
        let before = self.evacuated.replace(domains.clone());
        let events = domains.without(&before).map(|domain| ("evacuation-began", domain));
        let ended = before.without(&domains).map(|domain| ("evacuation-ended", domain));
        let mut is_change = false;
        for (event, domain) in events.chain(ended) {
            is_change = true;
            let revision = changed.iter().find(|(known, _)| *known == domain);
            let line = EventLine::new(event).field("domain", domain);
            let line = line.field("revision", revision.map_or(0, |(_, revision)| *revision));
            log::warn!("{}", line.field("source", source));
        }
        if is_change {
            self.metrics.set_evacuated(domains.count());
            self.send_to_traffic(TrafficInput::Evacuated(domains));
        }
    }

    /// The domains whose rows the copy of the orders table has.
    fn known_evacuations(&self) -> EvacuatedDomains {
        let replicas = self.replicas.borrow();
        let rows = replicas.get(&SharedTable::Orders).into_iter();
        let rows = rows.flat_map(|replica| replica.mirror().rows());
        rows.filter_map(|(key, ..)| OrderCodec::evacuated_domain(key)?.ok()).collect()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/evacuation_rows.rs"]
mod tests;
