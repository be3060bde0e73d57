use kwg_store::ObjectClient;
use kwg_telemetry::EventRing;

/// Stores events in the object store, since instances keep nothing. The time line reads them
/// from there.
#[derive(Debug)]
pub(crate) struct EventArchive {
    objects: ObjectClient,
    events: EventRing,
    prefix: String,
    next: u64,
}

impl EventArchive {
    pub(crate) fn new(objects: ObjectClient, events: EventRing, instance: &str, run: u64) -> Self {
        Self { objects, events, prefix: format!("events/{instance}/{run:016x}"), next: 0 }
    }

    /// Stores what has happened since the last call; in an outage it is kept for the next one.
    pub(crate) async fn store(&mut self) {
        let lines = self.events.take();
        if lines.is_empty() {
            return;
        }
        let key = format!("{}/{:08}", self.prefix, self.next);
        match self.objects.put(&key, lines.join("\n").into_bytes()).await {
            Ok(()) => self.next += 1,
            Err(_) => self.events.put_back(lines),
        }
    }
}
