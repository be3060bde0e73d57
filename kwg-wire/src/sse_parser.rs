use kwg_model::ByteChunk;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::sse_event::{BYTES_EVENT, END_EVENT, FAILED_EVENT};
use crate::{SseEvent, SseKind};

/// Maximum length of an incomplete event, in bytes.
const EVENT_MAX_BYTES: usize = 4 << 20;

/// Parses a stream of server-sent events, as used for answers.
///
/// ```
/// use kwg_wire::{SseKind, SseParser};
///
/// let mut parser = SseParser::default();
/// parser.push(b"id: 2\ndata: \"hi\"\n\nid: 2\nevent: end\nda");
/// let event = parser.next_event()?.expect("one is complete");
/// assert_eq!(event.kind, SseKind::Part(b"hi".as_slice().into()));
/// assert_eq!(parser.next_event()?, None, "an incomplete event is not returned");
/// # Ok::<(), kwg_wire::SseError>(())
/// ```
#[derive(Debug, Default)]
pub struct SseParser {
    bytes: Vec<u8>,
    consumed: usize,
}

/// Error of parsing an answer's event stream.
#[derive(Debug, Snafu)]
pub enum SseError {
    /// An incomplete event exceeds the maximum length.
    #[snafu(display("an event is longer than {EVENT_MAX_BYTES} bytes"))]
    TooLong,
    /// An event is not UTF-8, lacks its offset or data, or has an unknown name or an offset smaller
    /// than the length of its data.
    #[snafu(display("malformed event: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: &'static str,
    },
    /// The data is not the JSON that the event's name requires.
    #[snafu(display("malformed event data"))]
    Data {
        /// The decoder's error.
        source: serde_json::Error,
    },
}

impl SseParser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.bytes.drain(..self.consumed);
            self.consumed = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`SseError`] if the stream is malformed; it cannot be read any further.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        let rest = &self.bytes[self.consumed..];
        let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") else {
            ensure!(rest.len() <= EVENT_MAX_BYTES, TooLongSnafu);
            return Ok(None);
        };
        let event = parse_event(&rest[..end])?;
        self.consumed += end + 2;
        Ok(Some(event))
    }
}

fn parse_event(bytes: &[u8]) -> Result<SseEvent, SseError> {
    let text = std::str::from_utf8(bytes).ok();
    let text = text.context(MalformedSnafu { reason: "not UTF-8" })?;
    let (mut offset, mut name, mut data) = (None, "", None);
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", value)) => offset = value.parse().ok(),
            Some(("event", value)) => name = value,
            Some(("data", value)) => data = Some(value),
            _ => {}
        }
    }
    let offset: u64 = offset.context(MalformedSnafu { reason: "missing or invalid offset" })?;
    let data = data.context(MalformedSnafu { reason: "missing data" })?;
    let kind = match name {
        "" => {
            let text: String = serde_json::from_str(data).context(DataSnafu)?;
            SseKind::Part(ByteChunk::from(text.into_bytes()))
        }
        BYTES_EVENT => {
            let bytes: Vec<u8> = serde_json::from_str(data).context(DataSnafu)?;
            SseKind::Part(ByteChunk::from(bytes))
        }
        END_EVENT => SseKind::End,
        FAILED_EVENT => SseKind::Failed(serde_json::from_str(data).context(DataSnafu)?),
        _ => return MalformedSnafu { reason: "unknown event" }.fail(),
    };
    if let SseKind::Part(chunk) = &kind {
        let fits = chunk.len() as u64 <= offset;
        ensure!(
            fits,
            MalformedSnafu { reason: "the offset is smaller than the length of its data" }
        );
    }
    Ok(SseEvent { offset, kind })
}
