use kwg_model::{HomeAddress, MonoTime};

use super::{LeaseOptions, LeaseRow, OrderPermit};

/// One router's view of the lease. The phase says what it may do: only a held lease gives
/// orders.
///
/// ```
/// use kwg_decide::{LeaseOptions, LeaseSeat};
/// use kwg_model::{HomeAddress, InstanceName, MonoTime};
///
/// let options = LeaseOptions::default();
/// let own = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let mut seat = LeaseSeat::watch(own, options);
/// let write = seat.wants_write(MonoTime::ZERO).expect("nobody holds the lease");
/// let held = seat.take(&write);
/// assert_eq!(held.permit(MonoTime::ZERO).map(|permit| permit.fence()), Some(1));
/// assert!(held.permit(MonoTime::ZERO + options.period).is_none());
/// # Ok::<(), kwg_model::NameError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseSeat<P> {
    own: HomeAddress,
    options: LeaseOptions,
    /// Writes that this run has made; each carries its number.
    writes: u64,
    phase: P,
}

/// Somebody else holds the lease, or nobody.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Watching {
    /// The row as last read, and since when it has stood unchanged.
    seen: Option<(LeaseRow, MonoTime)>,
}

/// This router holds the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Held {
    row: LeaseRow,
    /// When the last write that took effect was sent: the lease is counted from there.
    sent_at: MonoTime,
    /// When this router took the lease.
    taken_at: MonoTime,
}

/// A write of the row, if it still is as it was read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseWrite {
    /// The row that must be there; `None` for no row.
    pub expected: Option<LeaseRow>,
    /// The row to write.
    pub row: LeaseRow,
    /// When the write is sent.
    pub sent_at: MonoTime,
}

impl LeaseSeat<Watching> {
    /// A router that has not read the row yet.
    #[must_use]
    pub fn watch(own: HomeAddress, options: LeaseOptions) -> Self {
        Self { own, options, writes: 0, phase: Watching { seen: None } }
    }

    /// Takes a reading of the row that came at `now`. The time counts from the reading, which
    /// is never before the write.
    pub fn observe(&mut self, now: MonoTime, row: Option<LeaseRow>) {
        let known = self.phase.seen.as_ref().map(|(row, _)| row);
        if known != row.as_ref() {
            self.phase.seen = row.map(|row| (row, now));
        }
    }

    /// The holder that was last read.
    #[must_use]
    pub fn holder(&self) -> Option<&HomeAddress> {
        self.phase.seen.as_ref().map(|(row, _)| &row.holder)
    }

    /// The write that takes the lease, if the row has stood unchanged for the whole period.
    #[must_use]
    pub fn wants_write(&mut self, now: MonoTime) -> Option<LeaseWrite> {
        let (expected, fence) = match &self.phase.seen {
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

    /// Takes the lease: the write took effect.
    #[must_use]
    pub fn take(self, write: &LeaseWrite) -> LeaseSeat<Held> {
        let phase =
            Held { row: write.row.clone(), sent_at: write.sent_at, taken_at: write.sent_at };
        LeaseSeat { own: self.own, options: self.options, writes: self.writes, phase }
    }
}

impl LeaseSeat<Held> {
    /// The fencing number.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.phase.row.fence
    }

    /// When the lease ends for this router.
    #[must_use]
    pub fn ends_at(&self) -> MonoTime {
        self.phase.sent_at + self.options.period.saturating_sub(self.options.margin)
    }

    /// Whether the lease has ended for this router.
    #[must_use]
    pub fn has_ended(&self, now: MonoTime) -> bool {
        now >= self.ends_at()
    }

    /// The right to give one order, if there is time left for the longest one.
    #[must_use]
    pub fn permit(&self, now: MonoTime) -> Option<OrderPermit> {
        let room = self.options.period.saturating_sub(self.options.margin);
        let until = self.phase.sent_at + room.saturating_sub(self.options.longest_order);
        (now < until).then(|| OrderPermit::new(self.phase.row.fence, until))
    }

    /// The right to give one order to a target that ignores fencing numbers: only once the
    /// last order of the holder before must have ended.
    #[must_use]
    pub fn unfenced_permit(&self, now: MonoTime) -> Option<OrderPermit> {
        let settled = self.phase.taken_at + self.options.longest_order;
        self.permit(now).filter(|_| self.phase.row.fence == 1 || now >= settled)
    }

    /// The write that renews the lease, if it is time.
    #[must_use]
    pub fn wants_write(&mut self, now: MonoTime) -> Option<LeaseWrite> {
        if now.since(self.phase.sent_at) < self.options.renewal || self.has_ended(now) {
            return None;
        }
        let expected = self.phase.row.clone();
        self.writes += 1;
        let row = LeaseRow { write: self.writes, ..expected.clone() };
        Some(LeaseWrite { expected: Some(expected), row, sent_at: now })
    }

    /// Notes that a renewal took effect.
    pub fn renewed(&mut self, write: &LeaseWrite) {
        self.phase.row = write.row.clone();
        self.phase.sent_at = write.sent_at;
    }

    /// Settles a renewal whose answer was lost, by a reading of the row: gives the write's time
    /// if the row holds it.
    pub fn settle(&mut self, write: &LeaseWrite, row: Option<&LeaseRow>) {
        if row == Some(&write.row) {
            self.renewed(write);
        }
    }

    /// Gives the lease up, because it ended or somebody else has it.
    #[must_use]
    pub fn lose(self) -> LeaseSeat<Watching> {
        LeaseSeat {
            own: self.own,
            options: self.options,
            writes: self.writes,
            phase: Watching { seen: None },
        }
    }
}
