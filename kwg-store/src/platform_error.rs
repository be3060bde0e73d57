use http_types::StatusCode;
use kwg_http::CallError;
use snafu::Snafu;

/// The error for a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The call failed; unless nothing was sent, it may have taken effect.
    #[snafu(display("{source}"))]
    Call {
        /// The cause.
        source: CallError,
    },
    /// The service refused.
    #[snafu(display("the platform answered {status} to '{path}'"))]
    Status {
        /// The status.
        status: StatusCode,
        /// What was asked.
        path: String,
    },
    /// The reply is not what the service promises.
    #[snafu(display("the platform's reply to '{path}' does not decode: {source}"))]
    Decode {
        /// What was asked.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Others changed the rows at each try.
    #[snafu(display("the rows of table '{table}' were changed by others at each try"))]
    Contended {
        /// The table.
        table: &'static str,
    },
    /// A stored row is not what this project writes.
    #[snafu(display("row '{key}' does not decode: {source}"))]
    Row {
        /// The row.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
}
