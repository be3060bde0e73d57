use std::time::Duration;

use kwg_model::MonoTime;

/// Time after which the own row is written again if reads do not show it. A late call of an earlier run may have
/// removed it.
const REWRITE_INTERVAL: Duration = Duration::from_secs(10);

/// A write of this instance's row that the store has applied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RowWrite {
    /// A revision before that of the row.
    pub(crate) floor: u64,
    pub(crate) at: MonoTime,
}

impl RowWrite {
    /// Whether reads may yet come to show the row, at a revision after `floor`.
    pub(crate) fn may_show(self, floor: u64, now: MonoTime) -> bool {
        self.floor >= floor && now.since(self.at) < REWRITE_INTERVAL
    }
}
