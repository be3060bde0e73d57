use std::time::Duration;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::Response;
use kwg_clock::ClockHandle;
use kwg_flow::TargetEvent;
use kwg_wire::{SseKind, SseParser};
use snafu::ResultExt;

use crate::stream_error::{IdleSnafu, MalformedSnafu, NoEndSnafu, ReadSnafu, StreamError};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Reads a target's event stream up to its end event and reports each part.
///
/// # Errors
/// [`StreamError`], also for a connection that closes before the end event.
pub(crate) async fn read_stream(
    mut response: Response,
    idle_timeout: Duration,
    clock: &ClockHandle,
    report: &impl AsyncFn(TargetEvent),
) -> Result<(), StreamError> {
    let mut body = response.take_body().into_reader();
    let mut parser = SseParser::default();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let read = async { body.read(&mut buffer).await.context(ReadSnafu) };
        let idle = async {
            clock.sleep(idle_timeout).await;
            IdleSnafu.fail()
        };
        let count = read.or(idle).await?;
        if count == 0 {
            return NoEndSnafu.fail();
        }
        parser.push(&buffer[..count]);
        while let Some(event) = parser.next_event().context(MalformedSnafu)? {
            match event.kind {
                SseKind::Part(chunk) => {
                    let offset = event.offset - chunk.len() as u64;
                    report(TargetEvent::Part { offset, chunk }).await;
                }
                SseKind::End => {
                    report(TargetEvent::End { length: event.offset }).await;
                    return Ok(());
                }
                SseKind::Failed(reason) => return Err(StreamError::TargetFailed { reason }),
            }
        }
    }
}
