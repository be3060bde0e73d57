use http_types::StatusCode;
use kwg_flow::CallRejection;
use kwg_http::BodyError;
use kwg_model::TicketError;
use snafu::Snafu;

/// Why a submission was not accepted, in terms of HTTP.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrontError {
    /// No key, or none that is known.
    #[snafu(display("the account key is missing or not known"))]
    Unauthorized,
    /// No such page.
    #[snafu(display("no such path"))]
    NoSuchPath,
    /// The page exists and does not take the method.
    #[snafu(display("the path does not take this method"))]
    BadMethod,
    /// A header does not hold what it should.
    #[snafu(display("header '{header}': {reason}"))]
    BadHeader {
        /// The header.
        header: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// A part of the path or query does not hold what it should.
    #[snafu(display("{what}: {reason}"))]
    BadPath {
        /// The part.
        what: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The ticket is not usable.
    #[snafu(display("{source}"))]
    BadTicket {
        /// The cause.
        source: TicketError,
    },
    /// The body is too long or did not come whole.
    #[snafu(display("{source}"))]
    BadBody {
        /// The cause.
        source: BodyError,
    },
    /// The account has its most of requests under way.
    #[snafu(display("the account has its most of {limit} requests under way"))]
    AccountBusy {
        /// The limit.
        limit: usize,
    },
    /// The traffic core does not accept the submission.
    #[snafu(display("{source}"))]
    Rejected {
        /// The cause.
        source: CallRejection,
    },
    /// The router does not know the tables yet.
    #[snafu(display("the router does not know the tables yet"))]
    NotReady,
    /// The router is stopping.
    #[snafu(display("the router is stopping"))]
    Stopping,
}

impl FrontError {
    /// The status that the caller gets.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::Unauthorized,
            Self::NoSuchPath => StatusCode::NotFound,
            Self::BadMethod => StatusCode::MethodNotAllowed,
            Self::BadHeader { .. } | Self::BadPath { .. } => StatusCode::BadRequest,
            Self::BadTicket { .. } => StatusCode::Forbidden,
            Self::BadBody { source: BodyError::TooLong { .. } } => StatusCode::PayloadTooLarge,
            Self::BadBody { .. } => StatusCode::BadRequest,
            Self::AccountBusy { .. } => StatusCode::TooManyRequests,
            Self::NotReady | Self::Stopping => StatusCode::ServiceUnavailable,
            Self::Rejected { source } => match source {
                CallRejection::UnknownRoute { .. } | CallRejection::NotHere => StatusCode::NotFound,
                CallRejection::TicketRequired => StatusCode::BadRequest,
                CallRejection::TooLarge { .. } => StatusCode::PayloadTooLarge,
                CallRejection::TicketLimit { .. } => StatusCode::TooManyRequests,
                CallRejection::TokenMismatch => StatusCode::Forbidden,
                CallRejection::NoOtherDomain
                | CallRejection::ShuttingDown
                | CallRejection::StoreOutage => StatusCode::ServiceUnavailable,
                CallRejection::BadBinding => StatusCode::Forbidden,
            },
        }
    }

    /// The reason as the word used in headers and metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NoSuchPath => "no-such-path",
            Self::BadMethod => "bad-method",
            Self::BadHeader { .. } => "bad-header",
            Self::BadPath { .. } => "bad-path",
            Self::BadTicket { .. } => "bad-ticket",
            Self::BadBody { source: BodyError::TooLong { .. } } => "body-too-long",
            Self::BadBody { .. } => "bad-body",
            Self::AccountBusy { .. } => "account-busy",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::Rejected { source } => match source {
                CallRejection::UnknownRoute { .. } => "unknown-route",
                CallRejection::NotHere => "not-here",
                CallRejection::TicketRequired => "ticket-required",
                CallRejection::TooLarge { .. } => "too-large",
                CallRejection::TicketLimit { .. } => "ticket-limit",
                CallRejection::TokenMismatch => "token-mismatch",
                CallRejection::NoOtherDomain => "no-other-domain",
                CallRejection::ShuttingDown => "shutting-down",
                CallRejection::StoreOutage => "store-outage",
                CallRejection::BadBinding => "bad-binding",
            },
        }
    }
}
