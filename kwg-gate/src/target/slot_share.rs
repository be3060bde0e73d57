use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of requests beyond a target's slots that owners may send while other instances use their
/// slots. Non-owners get no slot while the target is over its limit, so the excess ends when one
/// request does.
const RECLAIM_SLOTS: u32 = 1;
/// Share of a target's slots that must be free to take one without a claim, if the target is in
/// this instance's domain. While no request waits, other instances may take about this share
/// between two reports.
const AMPLE_LOCAL: f64 = 0.34;
/// The same for a target in another domain, whose reports are older.
const AMPLE_REMOTE: f64 = 0.67;

/// The slots of one target that one instance may use.
///
/// Load reports are outdated on arrival, and all instances see a free slot at the same time.
/// Therefore each slot is owned by one instance, which uses it without coordination. Slots that
/// their owners leave idle can be claimed by each instance in proportion to its share of all
/// waiting requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SlotShare {
    /// Number of slots that this instance owns.
    owned: u32,
    /// Number of other slots that it may still take before the next reports.
    claims: u32,
}

impl SlotShare {
    /// Allocates the `slots` of a target to their owners. The result depends only on the arguments:
    /// instances with the same list of owners compute the same allocation.
    pub(crate) fn allocate<'a>(
        target: &str,
        slots: u32,
        owners: &[&'a str],
    ) -> impl Iterator<Item = (&'a str, u32)> + use<'a> {
        let count = u32::try_from(owners.len()).unwrap_or(u32::MAX).max(1);
        let mut hasher = DefaultHasher::new();
        target.hash(&mut hasher);
        let start = (hasher.finish() % u64::from(count)) as u32;
        (0..count).zip(owners.to_vec()).map(move |(index, name)| {
            let position = (index + count - start) % count;
            (name, slots / count + u32::from(position < slots % count))
        })
    }

    /// Sets the number of slots that this instance owns.
    pub(crate) fn set_owned(&mut self, owned: u32) {
        self.owned = owned;
    }

    /// Claims `share` of the `lendable` slots until the next reports; `draw` decides whether a
    /// fraction of a slot is rounded up.
    pub(crate) fn refresh(&mut self, lendable: u32, share: f64, draw: f64) {
        self.claims = (f64::from(lendable) * share + draw).floor() as u32;
    }

    /// Slots that this instance may take now.
    pub(crate) fn usable(self, slots: u32, load: u32, running: u32) -> u32 {
        let free = slots.saturating_sub(load);
        let reclaimable = (slots + RECLAIM_SLOTS).saturating_sub(load);
        let idle_owned = self.owned.saturating_sub(running).min(reclaimable);
        idle_owned.max(self.claims.min(free))
    }

    /// Whether so many slots are free that no instance needs a claim.
    pub(crate) fn is_ample(slots: u32, load: u32, is_local: bool) -> bool {
        let share = if is_local { AMPLE_LOCAL } else { AMPLE_REMOTE };
        f64::from(slots.saturating_sub(load)) > share * f64::from(slots)
    }

    /// Whether a slot that this instance owns is idle.
    pub(crate) fn has_idle_owned(self, running: u32) -> bool {
        running < self.owned
    }

    /// Records that this instance took a slot.
    pub(crate) fn record_taken(&mut self, running_before: u32) {
        if running_before >= self.owned {
            self.claims = self.claims.saturating_sub(1);
        }
    }

    /// Records that a request of this instance has released a slot. One beyond the owned slots
    /// becomes a claim again, so that this instance may reuse it before the next reports.
    pub(crate) fn record_released(&mut self, running_after: u32) {
        if running_after >= self.owned {
            self.claims += 1;
        }
    }
}
