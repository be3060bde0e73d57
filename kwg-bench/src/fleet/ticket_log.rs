use std::collections::BTreeMap;
use std::path::Path;

/// The targets that each ticket was dispatched to, read from the targets' own logs.
///
/// Logs are used rather than the targets' memory because they survive a kill of the target.
#[derive(Debug, Default)]
pub struct TicketLog(BTreeMap<String, Vec<String>>);

impl TicketLog {
    /// Adds the dispatches in a target's log. A log that cannot be read counts as empty.
    pub fn add(&mut self, target: &str, path: &Path) {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let is_dispatch = |line: &&str| {
            line.contains("event=engine-dispatch") || line.contains("event=service-call")
        };
        for line in text.lines().filter(is_dispatch) {
            if let Some((_, ticket)) = line.split_once(" ticket=") {
                let ticket = ticket.split(' ').next().unwrap_or_default();
                self.0.entry(ticket.to_owned()).or_default().push(target.to_owned());
            }
        }
    }

    /// The targets that a ticket was dispatched to, one entry per dispatch.
    #[must_use]
    pub fn targets(&self, ticket: &str) -> &[String] {
        self.0.get(ticket).map_or(&[], Vec::as_slice)
    }

    /// Number of tickets that were dispatched.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no ticket was dispatched.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of tickets that were dispatched more than once.
    #[must_use]
    pub fn dispatched_twice(&self) -> usize {
        self.0.values().filter(|targets| targets.len() > 1).count()
    }
}
