use std::time::Duration;

/// Limits of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LedgerOptions {
    /// How long after its minting a ticket can be claimed.
    pub lifetime: Duration,
    /// How long after that the ledger still knows whether it was.
    pub retention: Duration,
    /// Most tickets that may be minted within lifetime and retention.
    pub max_tickets: usize,
    /// Most of these for one client account.
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
