use kwg_model::MonoTime;

/// The right to give one order to a target, made by a held lease and used up by the order.
///
/// A holder that was paused after it got the permit checks it again with
/// [`is_valid`](Self::is_valid) right before it sends. What is paused even after that is
/// stopped by the fencing number, or, at targets that ignore it, put right by the next holder,
/// who waits for the longest order and then reads back what the target does.
#[derive(Debug, PartialEq, Eq)]
pub struct OrderPermit {
    fence: u64,
    until: MonoTime,
}

impl OrderPermit {
    pub(super) fn new(fence: u64, until: MonoTime) -> Self {
        Self { fence, until }
    }

    /// The fencing number that the order carries.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether the order may still be sent.
    #[must_use]
    pub fn is_valid(&self, now: MonoTime) -> bool {
        now < self.until
    }
}
