use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{AccountName, MonoTime, SealKey, TicketKey, sealed_text};

/// Domain separator of ticket seals from other seals under the same key.
const SEAL_PURPOSE: u8 = b'T';

/// Identifies one possible dispatch of one request.
///
/// Before the dispatch, the ledger at the ticket's home must change it from open to claimed, which
/// happens at most once; the ledger may revoke it instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchTicket {
    /// Home and sequence number of the ticket.
    pub key: TicketKey,
    /// The client account that may use the ticket.
    pub account: AccountName,
    /// When the home minted the ticket, by the home's clock.
    pub minted_at: MonoTime,
}

/// The error for a ticket that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TicketError {
    /// The text is malformed or was not sealed by this fleet.
    #[snafu(display("the ticket is malformed or not sealed by this fleet"))]
    Forged,
    /// The ticket was minted for another client account.
    #[snafu(display("the ticket belongs to another client account"))]
    OtherAccount,
}

impl DispatchTicket {
    /// Seals the ticket and returns its text form for callers.
    ///
    /// ```
    /// use kwg_model::*;
    ///
    /// let key = SealKey::derive("secret");
    /// let home = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 7, shard: 0 };
    /// let account = AccountName::new("bank")?;
    /// let ticket = DispatchTicket {
    ///     key: TicketKey { home, sequence: 1 },
    ///     account: account.clone(),
    ///     minted_at: MonoTime::ZERO,
    /// };
    /// let text = ticket.to_text(&key);
    /// assert_eq!(DispatchTicket::from_text(&text, &key, &account), Ok(ticket));
    /// # Ok::<(), NameError>(())
    /// ```
    #[must_use]
    pub fn to_text(&self, key: &SealKey) -> String {
        sealed_text::encode(key, SEAL_PURPOSE, self)
    }

    /// Parses a caller's ticket and checks its seal and client account.
    ///
    /// # Errors
    /// [`TicketError::Forged`] for text that this fleet did not seal,
    /// [`TicketError::OtherAccount`] for a ticket of another client account.
    pub fn from_text(
        text: impl AsRef<str>,
        key: &SealKey,
        account: &AccountName,
    ) -> Result<Self, TicketError> {
        let ticket: Self =
            sealed_text::decode(key, SEAL_PURPOSE, text.as_ref()).ok_or(TicketError::Forged)?;
        if ticket.account != *account {
            return Err(TicketError::OtherAccount);
        }
        Ok(ticket)
    }
}
