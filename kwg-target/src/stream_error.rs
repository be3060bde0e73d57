use http_types::StatusCode;
use kwg_http::{BodyError, CallError};
use kwg_wire::SseError;
use snafu::Snafu;

/// Error of a stream that did not reach its end event.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StreamError {
    /// Building the request, connecting or the HTTP exchange failed.
    #[snafu(display("{source}"))]
    Exchange { source: CallError },
    /// The target has no such stream.
    #[snafu(display("the target has no such stream"))]
    Missing,
    /// The target answered with a status other than 200 and 404.
    #[snafu(display("the target answered {status}"))]
    Status { status: StatusCode },
    /// Reading the stream failed.
    #[snafu(display("reading the stream failed: {source}"))]
    Read { source: std::io::Error },
    /// The stream ended without its end event.
    #[snafu(display("the stream ended without its end event"))]
    NoEnd,
    /// No bytes were received within the idle timeout.
    #[snafu(display("the stream exceeded its idle timeout"))]
    Idle,
    /// The stream contains a malformed event.
    #[snafu(display("{source}"))]
    Malformed { source: SseError },
    /// A service's reply is incomplete, too long or states no length.
    #[snafu(display("{source}"))]
    Body { source: BodyError },
    /// The target reported a failure in its stream.
    #[snafu(display("the target failed: {reason}"))]
    TargetFailed { reason: String },
}
