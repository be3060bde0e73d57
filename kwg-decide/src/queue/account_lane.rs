use std::collections::VecDeque;

use super::QueueKey;

/// The waiting requests of one client account in one tier, oldest first.
///
/// The tag is the account's virtual service in tokens: the lane with the smallest tag is next.
#[derive(Debug, Clone, Default)]
pub(super) struct AccountLane {
    pub(super) tag: u64,
    pub(super) keys: VecDeque<QueueKey>,
}
