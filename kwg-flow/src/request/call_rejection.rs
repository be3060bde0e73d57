use kwg_decide::MintError;
use kwg_model::RouteName;
use snafu::Snafu;

/// Reason why a submission was rejected.
///
/// It implies nothing about earlier submissions of the same ticket.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallRejection {
    /// The route does not exist.
    #[snafu(display("unknown route '{route}'"))]
    UnknownRoute {
        /// Requested route.
        route: RouteName,
    },
    /// A non-idempotent request came without a ticket.
    #[snafu(display("a non-idempotent request needs a ticket or an idempotency key"))]
    TicketRequired,
    /// The request alone exceeds the capacity of the queue.
    #[snafu(display("the request costs {cost} tokens, the limit is {limit}"))]
    TooLarge {
        /// Cost of the request, in tokens.
        cost: u64,
        /// Queue capacity, in tokens.
        limit: u64,
    },
    /// Minting the tickets would exceed the limit of the account or of the ledger.
    #[snafu(display("{reason}"))]
    TicketLimit {
        /// Text of the [`MintError`].
        reason: String,
    },
    /// No router in another failure domain minted the ticket: none is serving, or the chosen one
    /// refused or did not reply in time.
    #[snafu(display("no router in another failure domain is reachable to hold the ticket"))]
    NoOtherDomain,
    /// The router is shutting down and no longer mints tickets.
    #[snafu(display("the router is shutting down"))]
    ShuttingDown,
    /// The submission was only to read an answer, and this core neither has the answer nor knows a
    /// core that claimed the ticket.
    #[snafu(display("no answer for this ticket here; a resume token finds it elsewhere"))]
    NotHere,
    /// The table service did not answer whether the idempotency key is bound to a ticket.
    #[snafu(display("the idempotency key cannot be bound: the table service does not answer"))]
    StoreOutage,
    /// The idempotency key is bound to a ticket of another account or fleet.
    #[snafu(display("the idempotency key is bound to a ticket that cannot be read"))]
    BadBinding,
    /// The resume token belongs to another ticket or account.
    #[snafu(display("the resume token does not match the ticket"))]
    TokenMismatch,
}

impl CallRejection {
    pub(crate) fn ticket_limit(error: &MintError) -> Self {
        Self::TicketLimit { reason: error.to_string() }
    }
}
