use kwg_model::{ClaimStub, ClaimVerdict, HomeAddress, TicketKey};
use snafu::Snafu;

use super::ClaimRight;

/// One attempt to claim a ticket that has not been answered yet.
///
/// ```
/// use kwg_decide::PendingClaim;
/// use kwg_model::*;
///
/// let home = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let key = TicketKey { home: home.clone(), sequence: 1 };
/// let pending = PendingClaim::begin(key.clone(), ClaimStub { claimer: home, attempt: 1 });
/// let right = pending.settle(ClaimVerdict::Granted).expect("granted");
/// assert_eq!(right.key(), &key);
/// # Ok::<(), NameError>(())
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct PendingClaim {
    key: TicketKey,
    stub: ClaimStub,
}

/// The error for a claim that gives no right to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ClaimFailure {
    /// Another attempt holds the ticket; its answer is to be joined.
    #[snafu(display("the ticket is held by {holder}"))]
    HeldBy {
        /// The core whose attempt holds it.
        holder: HomeAddress,
    },
    /// The ticket is burned: the request has not been run.
    #[snafu(display("the ticket is burned"))]
    Burned,
    /// The ledger no longer knows.
    #[snafu(display("the ticket is too old to be known"))]
    Forgotten,
    /// No ledger for the ticket is left.
    #[snafu(display("the ticket's home is gone"))]
    HomeGone,
    /// The ledger has moved and the attempt must be sent there.
    #[snafu(display("the ticket's ledger has moved to {successor}"))]
    Moved {
        /// Where the ledger is now.
        successor: HomeAddress,
    },
}

impl PendingClaim {
    /// Starts an attempt; the stub's number must never have been used before.
    #[must_use]
    pub fn begin(key: TicketKey, stub: ClaimStub) -> Self {
        Self { key, stub }
    }

    /// The ticket asked for.
    #[must_use]
    pub fn key(&self) -> &TicketKey {
        &self.key
    }

    /// The stub that names this attempt to the ledger.
    #[must_use]
    pub fn stub(&self) -> &ClaimStub {
        &self.stub
    }

    /// Ends the attempt with the ledger's verdict.
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

    /// Gives the attempt up before it was answered; a grant that comes later is void, and the
    /// stub lets the ledger burn the ticket.
    #[must_use]
    pub fn abandon(self) -> ClaimStub {
        self.stub
    }
}
