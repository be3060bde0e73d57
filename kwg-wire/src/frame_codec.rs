use snafu::{ResultExt, Snafu, ensure};

use crate::{PeerBody, PeerFrame};

/// Size of the length prefix, in bytes.
pub(crate) const PREFIX_BYTES: usize = 4;

/// Encodes and decodes frames: a little-endian length, followed by the frame in postcard.
#[derive(Debug, Clone, Copy)]
pub struct FrameCodec;

/// Error of encoding or decoding a frame.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The frame or its length prefix exceeds the limit.
    #[snafu(display("a frame of {length} bytes exceeds the limit of {limit}"))]
    TooLong {
        /// The length, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The frame does not encode or decode.
    #[snafu(display("malformed frame"))]
    Malformed {
        /// The codec's error.
        source: postcard::Error,
    },
    /// A name in the frame has characters that no name may have.
    #[snafu(display("a frame with an unusable name"))]
    UnusableName,
    /// Bytes remain after the frame.
    #[snafu(display("{count} trailing bytes after a frame"))]
    TrailingBytes {
        /// The number of bytes.
        count: usize,
    },
}

impl FrameCodec {
    /// Maximum length of a frame without its prefix, in bytes.
    pub const MAX_BYTES: usize = 16 << 20;

    /// Encodes a frame with its length prefix.
    ///
    /// # Errors
    /// [`FrameError::TooLong`] for a frame longer than [`Self::MAX_BYTES`],
    /// [`FrameError::Malformed`] if it does not encode, [`FrameError::UnusableName`] for a name that the receiver
    /// would not accept.
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
        ensure!(has_usable_names(frame), UnusableNameSnafu);
        let prefix = vec![0; PREFIX_BYTES];
        let mut bytes = postcard::to_extend(frame, prefix).context(MalformedSnafu)?;
        let length = bytes.len() - PREFIX_BYTES;
        ensure!(length <= Self::MAX_BYTES, TooLongSnafu { length, limit: Self::MAX_BYTES });
        let prefix = u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes();
        bytes[..PREFIX_BYTES].copy_from_slice(&prefix);
        Ok(bytes)
    }

    /// Decodes one frame without its length prefix.
    ///
    /// # Errors
    /// [`FrameError`] unless the bytes are exactly one frame.
    pub fn decode(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
        let (frame, rest) = postcard::take_from_bytes(bytes).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), TrailingBytesSnafu { count: rest.len() });
        ensure!(has_usable_names(&frame), UnusableNameSnafu);
        Ok(frame)
    }
}

fn has_usable_names(frame: &PeerFrame) -> bool {
    match &frame.body {
        PeerBody::Gate(message) => message.has_usable_names(),
        _ => true,
    }
}
