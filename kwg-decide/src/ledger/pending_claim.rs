use kwg_model::{ClaimStub, ClaimVerdict, HomeAddress, TicketKey};
use snafu::Snafu;

use super::ClaimRight;

/// An attempt to claim a ticket, awaiting the ledger's verdict.
///
/// ```
/// use kwg_decide::PendingClaim;
/// use kwg_model::*;
///
/// let home = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let key = TicketKey { home: home.clone(), sequence: 1 };
/// let pending = PendingClaim::begin(key.clone(), ClaimStub { claimer: home, attempt: 1 });
/// let permit = pending.settle(ClaimVerdict::Granted).expect("granted");
/// assert_eq!(permit.key(), &key);
/// # Ok::<(), NameError>(())
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct PendingClaim {
    key: TicketKey,
    stub: ClaimStub,
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
    /// The ticket is revoked: the request has not been run.
    #[snafu(display("the ticket has been revoked"))]
    Burned,
    /// The ticket is past retention, so the ledger has no record of whether it was claimed.
    #[snafu(display("the ticket is past its retention period"))]
    Forgotten,
    /// The ticket's ledger no longer exists.
    #[snafu(display("the ticket's home no longer exists"))]
    HomeGone,
    /// The ledger has moved; the attempt must be sent to the successor.
    #[snafu(display("the ticket's ledger has moved to {successor}"))]
    Moved {
        /// The core that keeps the ledger now.
        successor: HomeAddress,
    },
}

impl PendingClaim {
    /// Starts an attempt. The stub's attempt number must not have been used before.
    #[must_use]
    pub fn begin(key: TicketKey, stub: ClaimStub) -> Self {
        Self { key, stub }
    }

    /// Returns the ticket to claim.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// Returns the stub that identifies this attempt to the ledger.
    #[must_use]
    pub fn stub(&self) -> &ClaimStub {
        &self.stub
    }

    /// Completes the attempt with the ledger's verdict.
    ///
    /// # Errors
    /// [`ClaimFailure`] for every verdict but [`ClaimVerdict::Granted`].
    pub fn settle(self, verdict: ClaimVerdict) -> Result<ClaimRight, ClaimFailure> {
        match verdict {
            ClaimVerdict::Granted => Ok(ClaimRight::new(self.key, self.stub)),
            ClaimVerdict::HeldBy(holder) => Err(ClaimFailure::HeldBy { holder }),
            ClaimVerdict::Burned => Err(ClaimFailure::Burned),
            ClaimVerdict::Forgotten => Err(ClaimFailure::Forgotten),
            ClaimVerdict::HomeGone => Err(ClaimFailure::HomeGone),
            ClaimVerdict::Moved(successor) => Err(ClaimFailure::Moved { successor }),
        }
    }

    /// Abandons the attempt before the verdict has arrived.
    ///
    /// A later grant has no effect; the returned stub lets the ledger revoke the ticket.
    #[must_use]
    pub fn abandon(self) -> ClaimStub {
        self.stub
    }
}
