//! Wire encodings, separate from all decisions: the frames between routers and the server-sent
//! events of answers.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod frame_codec;
mod frame_reader;
mod gate_message;
mod peer_frame;
mod sse_event;
mod sse_parser;

pub use frame_codec::{FrameCodec, FrameError};
pub use frame_reader::FrameReader;
pub use gate_message::{GateMessage, SharedTable};
pub use peer_frame::{PeerBody, PeerFrame};
pub use sse_event::{SseEvent, SseKind};
pub use sse_parser::{SseError, SseParser};
