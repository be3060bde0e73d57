use snafu::{ResultExt, Snafu, ensure};

use crate::PeerFrame;

/// Length of the length prefix, in bytes.
pub(crate) const PREFIX_BYTES: usize = 4;

/// Turns frames into bytes and back: a little-endian length, then the frame in postcard.
#[derive(Debug, Clone, Copy)]
pub struct FrameCodec;

/// The error for bytes that are no frame.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The length prefix is beyond the limit.
    #[snafu(display("a frame of {length} bytes is longer than {limit}"))]
    TooLong {
        /// The length claimed.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// The bytes do not decode.
    #[snafu(display("malformed frame"))]
    Malformed {
        /// Where the codec stopped.
        source: postcard::Error,
    },
    /// Bytes are left over behind the frame.
    #[snafu(display("{count} stray bytes behind a frame"))]
    Stray {
        /// How many.
        count: usize,
    },
}

impl FrameCodec {
    /// Longest frame, in bytes.
    pub const MAX_BYTES: usize = 16 << 20;

    /// Encodes a frame with its length.
    ///
    /// # Errors
    /// [`FrameError::TooLong`] for a frame beyond [`Self::MAX_BYTES`].
    ///
    /// ```
    /// use kwg_model::InstanceName;
    /// use kwg_wire::{FrameCodec, FrameReader, PeerBody, PeerFrame};
    ///
    /// let instance = InstanceName::new("r1").expect("valid");
    /// let hello = PeerBody::Hello { instance, incarnation: 1 };
    /// let frame = PeerFrame { stamp: 1, body: hello };
    /// let bytes = FrameCodec::encode(&frame)?;
    /// let mut reader = FrameReader::default();
    /// reader.push(&bytes);
    /// assert_eq!(reader.next_frame()?, Some(frame));
    /// # Ok::<(), kwg_wire::FrameError>(())
    /// ```
    pub fn encode(frame: &PeerFrame) -> Result<Vec<u8>, FrameError> {
        let prefix = vec![0; PREFIX_BYTES];
        let mut bytes = postcard::to_extend(frame, prefix).context(MalformedSnafu)?;
        let length = bytes.len() - PREFIX_BYTES;
        ensure!(length <= Self::MAX_BYTES, TooLongSnafu { length, limit: Self::MAX_BYTES });
        let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes();
        bytes[..PREFIX_BYTES].copy_from_slice(&prefix);
        Ok(bytes)
    }

    /// Decodes the bytes of one frame, without its length.
    ///
    /// # Errors
    /// [`FrameError`] for anything that is not exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
        let (frame, rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), StraySnafu { count: rest.len() });
        Ok(frame)
    }
}
