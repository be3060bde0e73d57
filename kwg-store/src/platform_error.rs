use http_types::StatusCode;
use kwg_http::CallError;
use snafu::Snafu;

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The call failed; it may have taken effect unless connecting failed.
    #[snafu(display("{source}"))]
    Call {
        /// The cause.
        source: CallError,
    },
    /// The service replied with an error status.
    #[snafu(display("the platform replied {status} to '{path}'"))]
    Status {
        /// The status.
        status: StatusCode,
        /// The path of the call.
        path: String,
    },
    /// The reply does not decode.
    #[snafu(display("the platform's reply to '{path}' does not decode: {source}"))]
    Decode {
        /// The path of the call.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Every attempt conflicted with another write.
    #[snafu(display("every write to table '{table}' conflicted with another one"))]
    Contended {
        /// The table.
        table: &'static str,
    },
    /// A row does not encode or decode.
    #[snafu(display("row '{key}' does not encode or decode: {source}"))]
    Row {
        /// The key of the row.
        key: String,
        /// The cause.
        source: serde_json::Error,
    },
}
