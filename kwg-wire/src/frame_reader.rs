use snafu::ensure;

use crate::frame_codec::{PREFIX_BYTES, TooLongSnafu};
use crate::{FrameCodec, FrameError, PeerFrame};

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

impl FrameReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`FrameError`] if the stream is malformed; it cannot be read any further.
    pub fn next_frame(&mut self) -> Result<Option<PeerFrame>, FrameError> {
        let Some(prefix) = self.bytes.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_le_bytes(*prefix) as usize;
        let limit = FrameCodec::MAX_BYTES;
        ensure!(length <= limit, TooLongSnafu { length, limit });
        let Some(body) = self.bytes.get(PREFIX_BYTES..PREFIX_BYTES + length) else {
            return Ok(None);
        };
        let frame = FrameCodec::decode(body)?;
        self.bytes.drain(..PREFIX_BYTES + length);
        Ok(Some(frame))
    }
}
