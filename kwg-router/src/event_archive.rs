use kwg_store::ObjectClient;
use kwg_telemetry::EventRing;

/// Writes events to the object store, because instances have no persistent storage of their own.
/// The `timeline` command reads them from there.
#[derive(Debug)]
pub(crate) struct EventArchive {
    objects: ObjectClient,
    events: EventRing,
    prefix: String,
    next_number: u64,
}

impl EventArchive {
    pub(crate) fn new(
        objects: ObjectClient,
        events: EventRing,
        instance: &str,
        incarnation: u64,
    ) -> Self {
        Self {
            objects,
            events,
            prefix: format!("events/{instance}/{incarnation:016x}"),
            next_number: 0,
        }
    }

    /// Writes the events since the last call as one object. If the write fails, the events go back
    /// to the ring for the next call.
    pub(crate) async fn store(&mut self) {
        let lines = self.events.drain();
        if lines.is_empty() {
            return;
        }
        let key = format!("{}/{:08}", self.prefix, self.next_number);
        match self.objects.put(&key, lines.join("\n").into_bytes()).await {
            Ok(()) => self.next_number += 1,
            Err(_) => self.events.restore(lines),
        }
    }
}
