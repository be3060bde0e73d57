use snafu::ensure;

use crate::frame_codec::{PREFIX_BYTES, TooLongSnafu};
use crate::{FrameCodec, FrameError, PeerFrame};

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
}

impl FrameReader {
    /// Adds bytes as they came in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole frame, `None` if bytes are still missing.
    ///
    /// # Errors
    /// [`FrameError`] if the stream is no longer usable.
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
