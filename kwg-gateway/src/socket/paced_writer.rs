use std::io;

use futures_lite::FutureExt;
use kwg_clock::ClockHandle;
use kwg_gate::{CallerGuard, CallerPhase};

use super::{KERNEL_BYTES, SocketWriter};

/// Writes to a caller, who must read with a minimum progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PacedWriter<'a> {
    writer: SocketWriter<'a>,
    caller: &'a CallerGuard,
    clock: &'a ClockHandle,
}

impl<'a> PacedWriter<'a> {
    pub(crate) fn new(
        writer: SocketWriter<'a>,
        caller: &'a CallerGuard,
        clock: &'a ClockHandle,
    ) -> Self {
        Self { writer, caller, clock }
    }

    /// The reply is here whole. From now on the connection may be closed if the caller does not read and
    /// another one needs its room.
    pub(crate) fn begin_reply(&self) {
        self.caller.set_phase(CallerPhase::Reply, self.clock.now());
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// `TimedOut` if the caller reads too slowly, `ConnectionAborted` if the connection is closed to make
    /// room, and errors of the socket.
    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let floor = self.caller.options();
        let (mut written, mut moved, mut since) = (0, 0, self.clock.now());
        let mut full = None;
        while written < bytes.len() {
            let slow = async {
                // The kernel takes no more: its buffer is full.
                full.get_or_insert_with(|| self.caller.hold_kernel(KERNEL_BYTES, self.clock.now()));
                self.clock.sleep_until(since + floor.floor_window).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let closed = async {
                self.caller.wait_closing().await;
                Err(io::ErrorKind::ConnectionAborted.into())
            };
            let count = self.writer.write_part(&bytes[written..]).or(slow).or(closed).await?;
            let now = self.clock.now();
            self.caller.record_progress(count, now);
            written += count;
            moved += count as u64;
            if moved >= floor.window_bytes() {
                (moved, since) = (0, now);
            }
        }
        Ok(())
    }
}
