use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ClaimId, HomeAddress, MonoTime};

/// State of a ticket that is no longer open.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TicketState {
    /// The given attempt may dispatch the request, or already has.
    Claimed(ClaimId),
    /// The ticket is revoked; the request can never be dispatched.
    #[serde(rename = "Burned")]
    Revoked,
}

/// Contents of a ledger, as sent to the core that takes it over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerExport {
    /// The home that minted the tickets.
    pub home: HomeAddress,
    /// The first sequence number that has not been minted.
    pub next_sequence: u64,
    /// The home's clock when the export was made.
    pub exported_at: MonoTime,
    /// Tickets that are not open, by sequence number, with minting time and state.
    pub entries: BTreeMap<u64, (MonoTime, TicketState)>,
}
