use http_types::StatusCode;
use kwg_http::{BodyError, CallError};
use kwg_wire::SseError;
use snafu::Snafu;

/// The error for a stream that did not come to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StreamError {
    /// The connection failed after bytes were written.
    #[snafu(display("{source}"))]
    Exchange { source: CallError },
    /// The target does not know the stream.
    #[snafu(display("the target does not know the stream"))]
    Missing,
    /// The target answered with an error.
    #[snafu(display("the target answered {status}"))]
    Status { status: StatusCode },
    /// The connection broke off.
    #[snafu(display("the stream broke off: {source}"))]
    Read { source: std::io::Error },
    /// The stream ended without its end event.
    #[snafu(display("the stream ended without its end event"))]
    NoEnd,
    /// Nothing came for too long.
    #[snafu(display("the stream stood still"))]
    Idle,
    /// The stream is no stream of events.
    #[snafu(display("{source}"))]
    Malformed { source: SseError },
    /// A plain reply is not whole.
    #[snafu(display("{source}"))]
    Body { source: BodyError },
    /// The target said that it failed.
    #[snafu(display("the target failed: {reason}"))]
    TargetFailed { reason: String },
}
