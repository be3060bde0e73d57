use std::time::Duration;

/// Time and size limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LedgerOptions {
    /// How long after minting a ticket can be claimed.
    pub lifetime: Duration,
    /// How long after the end of its lifetime the ledger still records whether it was claimed.
    pub retention: Duration,
    /// Maximum number of tickets minted within lifetime plus retention.
    pub max_tickets: usize,
    /// Maximum number of those for one client account.
    pub max_account_tickets: usize,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            retention: Duration::from_secs(300),
            max_tickets: 100_000,
            max_account_tickets: 50_000,
        }
    }
}
