use kwg_gate::{EndSource, ReleaseCause, SuspectEvent, SuspectKey};
use kwg_telemetry::EventLine;

use super::suspect_fields::SuspectFields;
use super::traffic_state::TrafficState;

impl TrafficState {
    /// Forgets ends of targets that have expired, and logs and counts what has changed.
    pub(crate) fn review_suspects(&self) {
        let now = self.clock.now();
        let (events, refused) = {
            let mut core = self.core.borrow_mut();
            (core.review_suspects(now), core.suspects().refused_count())
        };
        events.iter().for_each(|event| self.log_suspect(event));
        self.metrics.set_refused_contents(refused);
    }

    fn log_suspect(&self, event: &SuspectEvent) {
        match event {
            SuspectEvent::EndKnown { key, target, source, count } => {
                let target = target.as_ref().map_or("unknown", |target| target.as_str());
                let line = EventLine::new("target-ended-under");
                let line = match key.suspect {
                    SuspectKey::Content(fingerprint) => {
                        line.field("fingerprint", format_args!("{fingerprint:016x}"))
                    }
                    SuspectKey::Part(part) => line.field("part", part),
                };
                let line = line
                    .field("target", target)
                    .field("run", key.run)
                    .field("nth", key.ordinal)
                    .field("source", source.as_str())
                    .field("ends", count);
                log::info!("{line}");
                let seen_by = match source {
                    EndSource::Own => "own",
                    EndSource::Peer(_) => "peer",
                };
                self.metrics.record_target_end(seen_by);
            }
            SuspectEvent::Refused(verdict) => {
                let line = SuspectFields::add_verdict(
                    EventLine::new("suspect-refused"),
                    &verdict.suspects,
                );
                log::warn!("{}", line.field("ends", verdict.ends()));
            }
            SuspectEvent::Released { suspects, cause } => {
                let line = SuspectFields::add_verdict(EventLine::new("suspect-released"), suspects);
                let line = match cause {
                    ReleaseCause::Refuted => line.field("cause", "refuted"),
                    ReleaseCause::Expired(quiet) => {
                        line.field("cause", "expired").field("quiet_s", quiet.as_secs())
                    }
                };
                log::info!("{line}");
            }
        }
    }
}
