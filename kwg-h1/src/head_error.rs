use snafu::Snafu;

/// The error for bytes that are no acceptable head or body framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HeadError {
    /// The bytes do not follow the grammar.
    #[snafu(display("malformed head"))]
    Malformed,
    /// The head is longer than allowed.
    #[snafu(display("head too large"))]
    TooLarge,
    /// The length of the body is stated twice, in two ways, or not as a number.
    #[snafu(display("ambiguous body length"))]
    AmbiguousLength,
    /// The body uses a transfer coding other than chunked.
    #[snafu(display("unsupported transfer coding"))]
    UnsupportedCoding,
    /// A chunk has no valid size line or end.
    #[snafu(display("malformed chunk"))]
    BadChunk,
}
