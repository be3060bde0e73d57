use crate::head_error::{AmbiguousLengthSnafu, UnsupportedCodingSnafu};
use crate::{HeadError, HeaderList};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// After this number of bytes.
    Length(u64),
    /// After the last chunk of the chunked transfer coding.
    Chunked,
    /// When the peer closes the connection.
    UntilClose,
}

impl BodyFraming {
    /// Determines the framing from the header fields; `None` if they state neither a length nor a
    /// transfer coding. A framing that is stated more than once, a length that is not a number and
    /// a coding other than chunked are errors.
    pub(crate) fn from_headers(headers: &HeaderList) -> Result<Option<Self>, HeadError> {
        let mut lengths = headers.all("content-length");
        let mut codings = headers.all("transfer-encoding");
        let (length, coding) = (lengths.next(), codings.next());
        if lengths.next().is_some() || codings.next().is_some() {
            return AmbiguousLengthSnafu.fail();
        }
        match (length, coding) {
            (Some(_), Some(_)) => AmbiguousLengthSnafu.fail(),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Self::Chunked))
            }
            (None, Some(_)) => UnsupportedCodingSnafu.fail(),
            (Some(length), None) => {
                let is_number = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
                let length = is_number.then(|| length.parse().ok()).flatten();
                length.map_or_else(|| AmbiguousLengthSnafu.fail(), |n| Ok(Some(Self::Length(n))))
            }
            (None, None) => Ok(None),
        }
    }
}
