use crate::head_error::{BadChunkSnafu, TooLargeSnafu};
use crate::{BodyFraming, HeadError};

/// Maximum number of bytes searched for the end of a chunk size line or trailer line.
const MAX_CHUNK_LINE: usize = 4 << 10;
/// Maximum length of all trailer lines of a body together, in bytes.
const MAX_TRAILER: usize = 8 << 10;

/// Incremental decoder that extracts a body from the bytes of a connection.
///
/// ```
/// use kwg_h1::{BodyDecoder, BodyFraming};
///
/// let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
/// let mut body = Vec::new();
/// let used = decoder.decode(b"3\r\nabc\r\n0\r\n\r\nnext", &mut body)?;
/// assert_eq!((body.as_slice(), used, decoder.is_done()), (&b"abc"[..], 13, true));
/// # Ok::<(), kwg_h1::HeadError>(())
/// ```
#[derive(Debug, Clone)]
pub struct BodyDecoder(BodyState);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// In a body of known length, with the number of bytes left.
    Counted(u64),
    /// Before a chunk size line.
    ChunkSize,
    /// In a chunk, with the number of bytes left.
    ChunkData(u64),
    /// Before the line end after a chunk's data.
    ChunkEnd,
    /// After the last chunk, before a trailer line or the empty line that ends the body; with the
    /// length of the trailer lines so far.
    Trailer(usize),
    UntilClose,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub fn new(framing: BodyFraming) -> Self {
        Self(match framing {
            BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(length) => BodyState::Counted(length),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        })
    }

    /// Whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.0 == BodyState::Done
    }

    /// Whether the body is complete if the connection ends here; otherwise it is truncated.
    #[must_use]
    pub fn is_complete_at_close(&self) -> bool {
        matches!(self.0, BodyState::Done | BodyState::UntilClose)
    }

    /// Decodes `bytes` and appends the content to `body`. Returns how many bytes were consumed.
    ///
    /// # Errors
    /// [`HeadError`] for an invalid chunk, if more than 4 KiB do not contain the end of a chunk size
    /// line or trailer line, or for more than 8 KiB of trailer lines.
    pub fn decode(&mut self, bytes: &[u8], body: &mut Vec<u8>) -> Result<usize, HeadError> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.0 {
                BodyState::Done => return Ok(used),
                BodyState::UntilClose => {
                    body.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                BodyState::Counted(left) | BodyState::ChunkData(left) => {
                    let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    body.extend_from_slice(&rest[..count]);
                    used += count;
                    let left = left - count as u64;
                    let is_chunk = matches!(self.0, BodyState::ChunkData(_));
                    self.0 = match (is_chunk, left) {
                        (true, 0) => BodyState::ChunkEnd,
                        (false, 0) => BodyState::Done,
                        (true, left) => BodyState::ChunkData(left),
                        (false, left) => BodyState::Counted(left),
                    };
                    if left > 0 {
                        return Ok(used);
                    }
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailer(_) => {
                    let Some(line) = next_line(rest)? else { return Ok(used) };
                    used += line.len() + 2;
                    self.0 = self.state_after_line(line)?;
                }
            }
        }
    }

    fn state_after_line(&self, line: &[u8]) -> Result<BodyState, HeadError> {
        match (self.0, line.is_empty()) {
            (BodyState::ChunkEnd, true) => Ok(BodyState::ChunkSize),
            (BodyState::Trailer(_), true) => Ok(BodyState::Done),
            (BodyState::Trailer(length), false) if length + line.len() > MAX_TRAILER => {
                TooLargeSnafu.fail()
            }
            (BodyState::Trailer(length), false) => Ok(BodyState::Trailer(length + line.len())),
            (BodyState::ChunkSize, false) => match parse_chunk_size(line)? {
                0 => Ok(BodyState::Trailer(0)),
                size => Ok(BodyState::ChunkData(size)),
            },
            _ => BadChunkSnafu.fail(),
        }
    }
}

fn next_line(bytes: &[u8]) -> Result<Option<&[u8]>, HeadError> {
    match bytes.windows(2).position(|pair| pair == b"\r\n") {
        Some(at) if bytes[..at].contains(&b'\n') => BadChunkSnafu.fail(),
        Some(at) => Ok(Some(&bytes[..at])),
        None if bytes.len() > MAX_CHUNK_LINE => TooLargeSnafu.fail(),
        None => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, HeadError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = std::str::from_utf8(digits).map(str::trim_end).unwrap_or("");
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = is_hex.then(|| u64::from_str_radix(digits, 16).ok()).flatten();
    size.map_or_else(|| BadChunkSnafu.fail(), Ok)
}
