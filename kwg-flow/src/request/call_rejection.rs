use kwg_decide::MintError;
use kwg_model::RouteName;
use snafu::Snafu;

/// Why a submission was not accepted. It says nothing of earlier submissions of its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallRejection {
    /// No such route.
    #[snafu(display("unknown route '{route}'"))]
    UnknownRoute {
        /// The route asked for.
        route: RouteName,
    },
    /// A request that must not be repeated came without a ticket.
    #[snafu(display("a non-idempotent request needs a ticket or an idempotency key"))]
    TicketRequired,
    /// The request alone costs more than the queue takes.
    #[snafu(display("the request costs {cost} tokens, the limit is {limit}"))]
    TooLarge {
        /// Its cost, in tokens.
        cost: u64,
        /// The most accepted, in tokens.
        limit: u64,
    },
    /// The account or the ledger has its most of tickets.
    #[snafu(display("{reason}"))]
    TicketLimit {
        /// Which limit was hit.
        reason: String,
    },
    /// No router in another failure domain can hold the ticket of a non-idempotent request.
    #[snafu(display("no router in another failure domain is reachable to hold the ticket"))]
    NoOtherDomain,
    /// The router is shutting down and mints no ticket any more.
    #[snafu(display("the router is shutting down"))]
    ShuttingDown,
    /// The caller wants to read an answer that is not to be found from here.
    #[snafu(display("no answer for this ticket here; a resume token finds it elsewhere"))]
    NotHere,
    /// The table service could not say which ticket the idempotency key is bound to.
    #[snafu(display("the idempotency key cannot be bound: the table service does not answer"))]
    StoreOutage,
    /// The key is bound to a ticket that is not this account's or not of this fleet.
    #[snafu(display("the idempotency key is bound to a ticket that cannot be read"))]
    BadBinding,
    /// The resume token is for another ticket or account.
    #[snafu(display("the resume token does not match the ticket"))]
    TokenMismatch,
}

impl CallRejection {
    pub(crate) fn ticket_limit(error: &MintError) -> Self {
        Self::TicketLimit { reason: error.to_string() }
    }
}
