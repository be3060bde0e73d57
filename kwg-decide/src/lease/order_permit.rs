use kwg_model::MonoTime;

/// Permission to send one order to a target, issued by a held lease and consumed by the order.
///
/// The holder may be paused between obtaining the permit and using it, so it checks
/// [`is_valid`](Self::is_valid) again right before sending. A pause after that check is covered
/// by the fencing number. At targets that ignore fencing numbers the next holder corrects the
/// result: it waits for the duration of the longest order, sends its own order and reads back which
/// versions the target lists as loaded.
#[derive(Debug, PartialEq, Eq)]
pub struct OrderPermit {
    fence: u64,
    valid_until: MonoTime,
}

impl OrderPermit {
    pub(super) fn new(fence: u64, valid_until: MonoTime) -> Self {
        Self { fence, valid_until }
    }

    /// Returns the fencing number that the order carries.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the order may still be sent.
    #[must_use]
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.valid_until
    }
}
