use http_types::StatusCode;
use kwg_flow::CallRejection;
use kwg_http::BodyError;
use kwg_model::TicketError;
use snafu::Snafu;

/// Reason for rejecting a request, with its HTTP status.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrontError {
    /// The account key is missing or unknown.
    #[snafu(display("the account key is missing or not known"))]
    Unauthorized,
    /// The path does not exist.
    #[snafu(display("no such path"))]
    NoSuchPath,
    /// The path exists but does not support the method.
    #[snafu(display("the path does not take this method"))]
    BadMethod,
    /// A header has an invalid value.
    #[snafu(display("header '{header}': {reason}"))]
    BadHeader {
        /// The header.
        header: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// A part of the path or query is invalid.
    #[snafu(display("{what}: {reason}"))]
    BadPath {
        /// The part.
        what: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The ticket is malformed, or was issued by another fleet or to another account.
    #[snafu(display("{source}"))]
    BadTicket {
        /// The cause.
        source: TicketError,
    },
    /// The body is too long or incomplete.
    #[snafu(display("{source}"))]
    BadBody {
        /// The cause.
        source: BodyError,
    },
    /// The account is at its limit of concurrent requests.
    #[snafu(display("the account has its most of {limit} requests under way"))]
    AccountBusy {
        /// The limit.
        limit: usize,
    },
    /// The traffic core rejected the submission.
    #[snafu(display("{source}"))]
    Rejected {
        /// The cause.
        source: CallRejection,
    },
    /// The router has not read its tables yet.
    #[snafu(display("the router does not know the tables yet"))]
    NotReady,
    /// The router is stopping.
    #[snafu(display("the router is stopping"))]
    Stopping,
}

impl FrontError {
    /// Returns the HTTP status of the response.
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

    /// Returns the reason as the label used in the reply and in metrics.
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
