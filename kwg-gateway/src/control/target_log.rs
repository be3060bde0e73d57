use kwg_adapter::EntryDecoder;
use kwg_gate::{TargetEntry, TargetId, TargetRegistry};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;

/// Decodes a target entry. An unreadable entry is logged and skipped, so that it does not affect
/// the other targets.
pub(super) fn decode_entry(key: &str, value: &[u8]) -> Option<TargetEntry> {
    match EntryDecoder::decode(key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            let line = EventLine::new("entry-unreadable").field("key", key).field("error", error);
            log::warn!("{line}");
            None
        }
    }
}

/// Logs what is known of a target; `source` is the store, or the name of the peer that told it.
pub(super) fn log_target(id: &TargetId, entry: Option<&TargetEntry>, revision: u64, source: &str) {
    let line = EventLine::new("target-changed").field("target", id).field("revision", revision);
    let line = line.field("source", source);
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

/// Logs that a target is still used although its entry is gone.
pub(super) fn log_if_held(registry: &TargetRegistry, id: &TargetId, now: MonoTime) {
    if let Some(until) = registry.held_until(id) {
        let line = EventLine::new("target-held").field("target", id);
        log::info!("{}", line.field("for_ms", until.since(now).as_millis()));
    }
}
