use std::fmt;

use serde::{Deserialize, Serialize};

use crate::HomeAddress;

/// Identifies a ticket, and with it a request and its stream at the target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketKey {
    /// The core whose ledger decides on the ticket.
    pub home: HomeAddress,
    /// The ticket's number in that ledger's sequence.
    pub sequence: u64,
}

impl fmt::Display for TicketKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HomeAddress { instance, incarnation, shard } = &self.home;
        write!(f, "{instance}.{incarnation:016x}.{shard}.{}", self.sequence)
    }
}
