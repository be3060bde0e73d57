use std::collections::BTreeMap;
use std::path::Path;

/// Where each ticket was dispatched, by the logs of the targets themselves. Unlike what a
/// target remembers, its log outlives it.
#[derive(Debug, Default)]
pub struct TicketLog(BTreeMap<String, Vec<String>>);

impl TicketLog {
    /// Adds the log of a target.
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

    /// The targets that a ticket was dispatched to, once for each dispatch.
    #[must_use]
    pub fn targets(&self, ticket: &str) -> &[String] {
        self.0.get(ticket).map_or(&[], Vec::as_slice)
    }

    /// How many tickets were dispatched.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no ticket was dispatched.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many tickets were dispatched more than once.
    #[must_use]
    pub fn dispatched_twice(&self) -> usize {
        self.0.values().filter(|targets| targets.len() > 1).count()
    }
}
