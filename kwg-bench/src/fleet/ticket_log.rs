use std::collections::BTreeMap;
use std::path::Path;

/// How often each ticket was dispatched, by the logs of the targets themselves. Unlike what a
/// target remembers, its log outlives it.
#[derive(Debug, Default)]
pub struct TicketLog(BTreeMap<String, u32>);

impl TicketLog {
    /// Adds the log of a target.
    pub fn add(&mut self, path: &Path) {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let is_dispatch = |line: &&str| {
            line.contains("event=engine-dispatch") || line.contains("event=service-call")
        };
        for line in text.lines().filter(is_dispatch) {
            if let Some((_, ticket)) = line.split_once(" ticket=") {
                let ticket = ticket.split(' ').next().unwrap_or_default();
                *self.0.entry(ticket.to_owned()).or_default() += 1;
            }
        }
    }

    /// How often a ticket was dispatched.
    #[must_use]
    pub fn count(&self, ticket: &str) -> u32 {
        self.0.get(ticket).copied().unwrap_or(0)
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
        self.0.values().filter(|count| **count > 1).count()
    }
}
