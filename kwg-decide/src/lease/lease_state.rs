use kwg_model::{HomeAddress, MonoTime};

use super::{LeaseOptions, LeaseRow, OrderPermit};

/// One router's state of the lease, with the phase as type parameter.
///
/// Only [`Held`] can issue order permits.
///
/// ```
/// use kwg_decide::{LeaseOptions, LeaseState};
/// use kwg_model::{HomeAddress, InstanceName, MonoTime};
///
/// let options = LeaseOptions::default();
/// let own = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let mut lease = LeaseState::watch(own, options);
/// let write = lease.next_write(MonoTime::ZERO).expect("the lease has no holder");
/// let held = lease.acquire(&write);
/// assert_eq!(held.permit(MonoTime::ZERO).map(|permit| permit.fence()), Some(1));
/// assert!(held.permit(MonoTime::ZERO + options.period).is_none());
/// # Ok::<(), kwg_model::NameError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseState<P> {
    own: HomeAddress,
    options: LeaseOptions,
    /// Number of writes issued by this run; each write carries its number.
    writes: u64,
    phase: P,
}

/// The phase in which another router holds the lease, or none does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Watching {
    /// The last row read, and when it was first seen in this form.
    last_seen: Option<(LeaseRow, MonoTime)>,
}

/// The phase in which this router holds the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Held {
    row: LeaseRow,
    /// When the last successful write was sent; the lease period starts there.
    sent_at: MonoTime,
    /// When the write that acquired the lease was sent.
    acquired_at: MonoTime,
}

/// A compare-and-swap of the lease row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseWrite {
    /// The row that must be stored for the write to succeed; `None` if there must be none.
    pub expected: Option<LeaseRow>,
    /// The row to write.
    pub row: LeaseRow,
    /// When the write is sent.
    pub sent_at: MonoTime,
}

impl LeaseState<Watching> {
    /// Creates the state of a router that has not read the row yet.
    #[must_use]
    pub fn watch(own: HomeAddress, options: LeaseOptions) -> Self {
        Self { own, options, writes: 0, phase: Watching { last_seen: None } }
    }

    /// Records a row that was received at `now`.
    ///
    /// The takeover period is counted from the first time a row is seen, which is never before
    /// its write.
    pub fn observe(&mut self, now: MonoTime, row: Option<LeaseRow>) {
        let last = self.phase.last_seen.as_ref().map(|(row, _)| row);
        if last != row.as_ref() {
            self.phase.last_seen = row.map(|row| (row, now));
        }
    }

    /// Returns the holder of the last row read.
    #[must_use]
    pub fn holder(&self) -> Option<&HomeAddress> {
        self.phase.last_seen.as_ref().map(|(row, _)| &row.holder)
    }

    /// Returns the write that acquires the lease, if no row has been observed or the last one has
    /// been unchanged for the whole period.
    #[must_use]
    pub fn next_write(&mut self, now: MonoTime) -> Option<LeaseWrite> {
        let (expected, fence) = match &self.phase.last_seen {
            None => (None, 0),
            Some((row, since)) if now.since(*since) >= self.options.period => {
                (Some(row.clone()), row.fence)
            }
            Some(_) => return None,
        };
        self.writes += 1;
        let row = LeaseRow { holder: self.own.clone(), fence: fence + 1, write: self.writes };
        Some(LeaseWrite { expected, row, sent_at: now })
    }

    /// Enters the held phase after the acquiring write has succeeded.
    #[must_use]
    pub fn acquire(self, write: &LeaseWrite) -> LeaseState<Held> {
        let phase =
            Held { row: write.row.clone(), sent_at: write.sent_at, acquired_at: write.sent_at };
        LeaseState { own: self.own, options: self.options, writes: self.writes, phase }
    }
}

impl LeaseState<Held> {
    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.phase.row.fence
    }

    /// Returns when the lease ends for this router: after the period, less the margin.
    #[must_use]
    pub fn ends_at(&self) -> MonoTime {
        self.phase.sent_at + self.options.period.saturating_sub(self.options.margin)
    }

    /// Returns whether the lease has ended for this router.
    #[must_use]
    pub fn has_ended(&self, now: MonoTime) -> bool {
        now >= self.ends_at()
    }

    /// Returns the permit for one order, if enough time is left for the longest order.
    #[must_use]
    pub fn permit(&self, now: MonoTime) -> Option<OrderPermit> {
        let usable = self.options.period.saturating_sub(self.options.margin);
        let until = self.phase.sent_at + usable.saturating_sub(self.options.longest_order);
        (now < until).then(|| OrderPermit::new(self.phase.row.fence, until))
    }

    /// Returns the permit for one order to a target that ignores fencing numbers.
    ///
    /// Such a target cannot refuse an order of the previous holder, so the permit is issued only
    /// once the previous holder's last order must have ended.
    #[must_use]
    pub fn unfenced_permit(&self, now: MonoTime) -> Option<OrderPermit> {
        let earliest = self.phase.acquired_at + self.options.longest_order;
        self.permit(now).filter(|_| self.phase.row.fence == 1 || now >= earliest)
    }

    /// Returns the write that renews the lease, if a renewal is due.
    #[must_use]
    pub fn next_write(&mut self, now: MonoTime) -> Option<LeaseWrite> {
        if now.since(self.phase.sent_at) < self.options.renewal || self.has_ended(now) {
            return None;
        }
        let expected = self.phase.row.clone();
        self.writes += 1;
        let row = LeaseRow { write: self.writes, ..expected.clone() };
        Some(LeaseWrite { expected: Some(expected), row, sent_at: now })
    }

    /// Records that a renewal has succeeded.
    pub fn record_renewal(&mut self, write: &LeaseWrite) {
        self.phase.row = write.row.clone();
        self.phase.sent_at = write.sent_at;
    }

    /// Resolves a renewal whose reply was lost, from a later read of the row.
    ///
    /// If the row is the one written, the renewal counts from the time the write was sent.
    pub fn confirm_renewal(&mut self, write: &LeaseWrite, row: Option<&LeaseRow>) {
        if row == Some(&write.row) {
            self.record_renewal(write);
        }
    }

    /// Leaves the held phase, because the lease has ended or another router holds it.
    ///
    /// The row must be observed again before its holder is known.
    #[must_use]
    pub fn relinquish(self) -> LeaseState<Watching> {
        LeaseState {
            own: self.own,
            options: self.options,
            writes: self.writes,
            phase: Watching { last_seen: None },
        }
    }
}
