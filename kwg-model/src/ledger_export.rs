use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{ClaimStub, HomeAddress, MonoTime};

/// What a ledger remembers of a ticket that is no longer open.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TicketState {
    /// One attempt may dispatch, or has.
    Claimed(ClaimStub),
    /// Nobody may ever dispatch.
    Burned,
}

/// A ledger on its way to the core that carries on with it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerExport {
    /// The home whose tickets these are.
    pub home: HomeAddress,
    /// The first sequence number that was never minted.
    pub next_sequence: u64,
    /// The home's clock when the export was made.
    pub exported_at: MonoTime,
    /// Each ticket that is not open, with its minting time.
    pub entries: BTreeMap<u64, (MonoTime, TicketState)>,
}
