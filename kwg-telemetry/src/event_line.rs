use std::fmt::{self, Display, Write};

use kwg_flow::{ControlEvent, EventKind, FlowEvent};

/// An event formatted as one line of key=value pairs.
///
/// ```
/// use kwg_telemetry::EventLine;
///
/// let line = EventLine::new("tables-in-force").field("revision", 3).field("by", "Eva M");
/// assert_eq!(line.to_string(), "event=tables-in-force revision=3 by=\"Eva M\"");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine(String);

impl EventLine {
    /// Creates a line for the named event.
    #[must_use]
    pub fn new(event: &str) -> Self {
        Self(format!("event={event}"))
    }

    /// Appends a pair. A value that is empty or contains whitespace, quotes or `=` is quoted.
    #[must_use]
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let is_plain = !value.is_empty()
            && value.chars().all(|char| !char.is_whitespace() && char != '"' && char != '=');
        let written = match is_plain {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        };
        written.expect("writing to a string is infallible");
        self
    }

    /// Appends a pair if there is a value.
    fn optional(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(key, value),
            None => self,
        }
    }
}

impl Display for EventLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&FlowEvent> for EventLine {
    fn from(event: &FlowEvent) -> Self {
        let line = Self::new(event.kind.name()).field("ticket", &event.key);
        match &event.kind {
            EventKind::Admitted { tier, account } => {
                line.field("tier", tier).field("account", account)
            }
            EventKind::ClaimSent { home } => line.field("home", home),
            EventKind::Dispatched { target, version } => {
                line.field("target", target).field("version", version)
            }
            EventKind::NotStarted { target }
            | EventKind::Resumed { target }
            | EventKind::Cut { target } => line.field("target", target),
            EventKind::Joined { holder } => line.field("holder", holder),
            EventKind::Answered { tier, target, version, length, total, first_byte } => line
                .field("tier", tier)
                .field("target", target)
                .field("version", version)
                .field("bytes", length)
                .field("total_ms", total.as_millis())
                .optional("first_byte_ms", first_byte.map(|span| span.as_millis())),
            EventKind::Recovered { length } => line.field("bytes", length),
            EventKind::Failed { outcome, tier } => line
                .field("outcome", outcome.as_str())
                .field("reason", outcome.reason())
                .optional("tier", *tier),
            EventKind::Granted { claimer } => line.field("claimer", claimer),
            EventKind::Cancelled | EventKind::Revoked => line,
        }
    }
}

impl From<&ControlEvent> for EventLine {
    fn from(event: &ControlEvent) -> Self {
        let line = Self::new(event.name());
        match event {
            ControlEvent::TablesInForce { revision, change_id, source } => {
                line.field("revision", revision).field("change", change_id).field("source", source)
            }
            ControlEvent::PeerChanged { instance, incarnation, state } => line
                .field("peer", instance)
                .field("run", format!("{incarnation:016x}"))
                .field("state", format!("{state:?}").to_lowercase()),
            ControlEvent::InstanceLeaving { name } => line.field("name", name),
            ControlEvent::PlatformDown { request } | ControlEvent::PlatformUp { request } => {
                line.field("request", request)
            }
            ControlEvent::Ready => line,
            ControlEvent::Leadership { fence } => line.optional("fence", *fence),
            ControlEvent::Braked { pool, version, evidence } => {
                line.field("pool", pool).field("version", version).field("evidence", evidence)
            }
            ControlEvent::MoveStep { pool, row } => {
                let line = line.field("pool", pool).field("to", &row.to);
                let line = line.field("phase", format!("{:?}", row.phase).to_lowercase());
                let reason = row.verdict.as_ref().map(|verdict| &verdict.reason);
                let evidence = row.verdict.as_ref().map(|verdict| &verdict.evidence);
                line.optional("reason", reason).optional("evidence", evidence)
            }
            ControlEvent::Poisoned { fingerprint } => {
                line.field("fingerprint", format!("{fingerprint:016x}"))
            }
            ControlEvent::LedgerMoved { home, successor } => {
                line.field("home", home).field("successor", successor)
            }
        }
    }
}
