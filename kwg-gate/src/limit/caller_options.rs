use std::time::Duration;

/// Limits of the memory and the descriptors that callers use together, and of their progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerOptions {
    /// Maximum number of bytes that are held for all callers.
    pub memory_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Bytes that an open connection takes by itself: its task, its entries and the kernel's socket.
    pub connection_bytes: usize,
    /// Time without progress after which a connection is closed before others if there is no room.
    pub stall: Duration,
    /// Minimum progress of a body or a reply, in bytes per second over `floor_window`.
    pub floor_bytes_s: u64,
    /// Window over which the progress is measured.
    pub floor_window: Duration,
}

impl CallerOptions {
    /// Bytes that must have moved within one window.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kwg_gate::CallerOptions;
    ///
    /// let window = Duration::from_secs(10);
    /// let options =
    ///     CallerOptions { floor_bytes_s: 256, floor_window: window, ..Default::default() };
    /// assert_eq!(options.window_bytes(), 2_560);
    /// ```
    #[must_use]
    pub fn window_bytes(&self) -> u64 {
        let bytes = u128::from(self.floor_bytes_s) * self.floor_window.as_millis() / 1_000;
        u64::try_from(bytes).unwrap_or(u64::MAX).max(1)
    }
}

impl Default for CallerOptions {
    /// Limits for the smallest instances (88 MB, 4,100 descriptors). A body may come at a hundredth of
    /// the share that each of 50 callers has of a link of 10 Mbit/s. A stall is longer than three
    /// retransmissions in a row (0.2, 0.4 and 0.8 s).
    fn default() -> Self {
        Self {
            memory_bytes: 26 << 20,
            connections: 2_900,
            connection_bytes: 6 << 10,
            stall: Duration::from_secs(2),
            floor_bytes_s: 256,
            floor_window: Duration::from_secs(10),
        }
    }
}
