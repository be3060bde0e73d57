use std::collections::VecDeque;

use super::QueueKey;

/// The waiting requests of one client account in one tier, oldest first.
///
/// The queue with the smallest virtual start time is served next (start-time fair queueing).
#[derive(Debug, Clone, Default)]
pub(super) struct AccountQueue {
    /// Virtual start time of the oldest request, in tokens.
    pub(super) start_tag: u64,
    /// Keys of the requests, oldest first; those of entries removed since are skipped.
    pub(super) keys: VecDeque<QueueKey>,
}
