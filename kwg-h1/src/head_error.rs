use snafu::Snafu;

/// Error of parsing a head or of decoding a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeadError {
    /// The bytes violate the grammar of a head.
    #[snafu(display("malformed head"))]
    Malformed,
    /// The head, or a chunk size line or trailer line, is longer than allowed.
    #[snafu(display("head too large"))]
    TooLarge,
    /// The body length is ambiguous or invalid: `Content-Length` or `Transfer-Encoding` occurs more
    /// than once, both occur, or the length is not a number.
    #[snafu(display("ambiguous body length"))]
    AmbiguousLength,
    /// The body uses a transfer coding other than chunked.
    #[snafu(display("unsupported transfer coding"))]
    UnsupportedCoding,
    /// A chunk has an invalid size line or end.
    #[snafu(display("malformed chunk"))]
    BadChunk,
}
