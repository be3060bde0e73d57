use std::fmt::Display;

use kwg_gate::{RequestDetails, SuspectKey};
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

    /// Adds what requests must have to be refused.
    pub(crate) fn add_verdict(line: EventLine, suspects: &[SuspectKey]) -> EventLine {
        line.field("suspects", Self::list(suspects))
    }

    /// The shared parts of the prompt, separated by commas.
    pub(crate) fn parts(details: &RequestDetails) -> String {
        Self::list(&details.parts)
    }

    fn list(items: &[impl Display]) -> String {
        items.iter().map(ToString::to_string).collect::<Vec<String>>().join(",")
    }
}
