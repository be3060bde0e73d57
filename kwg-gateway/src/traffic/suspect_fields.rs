use std::fmt::Write;

use kwg_gate::RequestDetails;
use kwg_telemetry::EventLine;

/// The fields of log lines from which it can be seen why targets end under a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspectFields;

impl SuspectFields {
    /// Adds the content, which equal requests of other callers and instances have as well, the parts of the prompt, and
    /// whether the target had sent an event.
    pub(crate) fn add(line: EventLine, details: &RequestDetails, has_begun: bool) -> EventLine {
        line.field("fingerprint", format_args!("{:016x}", details.fingerprint))
            .field("parts", Self::parts(details))
            .field("begun", has_begun)
    }

    /// The shared parts of the prompt, separated by commas.
    pub(crate) fn parts(details: &RequestDetails) -> String {
        let mut text = String::new();
        for part in &details.parts {
            let comma = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            write!(text, "{comma}{part}").unwrap_or_default();
        }
        text
    }
}
