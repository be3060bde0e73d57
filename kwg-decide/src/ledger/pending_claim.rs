use kwg_model::{ClaimId, ClaimVerdict, HomeAddress, TicketKey};
use snafu::Snafu;

use super::DispatchPermit;

/// An attempt to claim a ticket, awaiting the ledger's verdict.
///
/// ```
/// use kwg_decide::PendingClaim;
/// use kwg_model::*;
///
/// let home = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let key = TicketKey { home: home.clone(), sequence: 1 };
/// let pending = PendingClaim::begin(key.clone(), ClaimId { claimer: home, attempt: 1 });
/// let permit = pending.settle(ClaimVerdict::Granted).expect("granted");
/// assert_eq!(permit.key(), &key);
/// # Ok::<(), NameError>(())
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct PendingClaim {
    key: TicketKey,
    claim_id: ClaimId,
}

/// The error for a claim that was not granted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ClaimFailure {
    /// Another attempt holds the ticket; the request should join its answer.
    #[snafu(display("the ticket is held by {holder}"))]
    HeldBy {
        /// The core that made the other attempt.
        holder: HomeAddress,
    },
    /// The ticket is revoked or expired, so the request has not been run under it.
    #[snafu(display("the ticket has been revoked"))]
    Revoked,
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    #[snafu(display("the ticket is past its retention period"))]
    Forgotten,
    /// The ticket's ledger no longer exists.
    #[snafu(display("the ticket's home no longer exists"))]
    HomeEnded,
    /// The ledger has moved; the attempt must be sent to the successor.
    #[snafu(display("the ticket's ledger has moved to {successor}"))]
    Moved {
        /// The core that keeps the ledger now.
        successor: HomeAddress,
    },
}

impl PendingClaim {
    /// Starts an attempt. The claim id's attempt number must not have been used before.
    #[must_use]
    pub fn begin(key: TicketKey, claim_id: ClaimId) -> Self {
        Self { key, claim_id }
    }

    /// Returns the ticket to claim.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Returns the claim id that identifies this attempt to the ledger.
    #[must_use]
    pub fn claim_id(&self) -> &ClaimId {
        &self.claim_id
    }

    /// Completes the attempt with the ledger's verdict.
    ///
    /// # Errors
    /// [`ClaimFailure`] for every verdict but [`ClaimVerdict::Granted`].
    pub fn settle(self, verdict: ClaimVerdict) -> Result<DispatchPermit, ClaimFailure> {
        match verdict {
            ClaimVerdict::Granted => Ok(DispatchPermit::new(self.key, self.claim_id)),
            ClaimVerdict::HeldBy(holder) => Err(ClaimFailure::HeldBy { holder }),
            ClaimVerdict::Revoked => Err(ClaimFailure::Revoked),
            ClaimVerdict::Forgotten => Err(ClaimFailure::Forgotten),
            ClaimVerdict::HomeEnded => Err(ClaimFailure::HomeEnded),
            ClaimVerdict::Moved(successor) => Err(ClaimFailure::Moved { successor }),
        }
    }

    /// Abandons the attempt before the verdict has arrived.
    ///
    /// A later grant has no effect; with the returned claim id the ticket can be revoked.
    #[must_use]
    pub fn abandon(self) -> ClaimId {
        self.claim_id
    }
}
