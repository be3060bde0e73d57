use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use kwg_decide::{Held, LeaseOptions, LeaseRow, LeaseState, LeaseWrite, Watching};
use kwg_model::{HomeAddress, InstanceName, MonoTime};

use crate::ModelState;

/// The lease protocol as implemented, or broken in one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseVariant {
    /// As implemented.
    Sound,
    /// The lease period starts when the reply to a write arrives, not when the write is sent.
    CountFromReply,
    /// The lease is acquired before the row has been unchanged for the whole period.
    EarlyTakeover,
    /// A new holder keeps the fencing number.
    SameFence,
    /// After a lost reply, the lease period starts at the read that confirms the write.
    CountFromConfirmingRead,
    /// Writes carry no unique number, so a row read before a write may be taken to confirm it.
    StaleReadConfirms,
}

impl LeaseVariant {
    /// Every broken variant.
    pub const BROKEN: [Self; 5] = [
        Self::CountFromReply,
        Self::EarlyTakeover,
        Self::SameFence,
        Self::CountFromConfirmingRead,
        Self::StaleReadConfirms,
    ];
}

/// Length of one clock step.
const TICK: Duration = Duration::from_secs(1);

/// Model of routers that compete for the lease.
///
/// The store may be slow, lose replies and be unavailable for any length of time: any read or
/// write may stay in flight indefinitely.
#[derive(Debug, Clone)]
pub struct LeaseModel {
    variant: LeaseVariant,
    ticks_left: u8,
    writes_left: u8,
    now: MonoTime,
    row: Option<LeaseRow>,
    routers: Vec<LeaseRouter>,
    /// The first holder of each fencing number; key 0 marks a number with two holders.
    fences: BTreeMap<u64, usize>,
    step: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeaseRouter {
    lease: LeasePhase,
    /// A read in flight, with its result.
    read: Option<Option<LeaseRow>>,
    /// A write in flight, and whether it succeeded once the store has processed it.
    write: Option<(LeaseWrite, Option<bool>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LeasePhase {
    Watching(LeaseState<Watching>),
    Held(LeaseState<Held>),
}

/// States are equal regardless of the step that led to them.
impl PartialEq for LeaseModel {
    fn eq(&self, other: &Self) -> bool {
        (self.now, self.writes_left) == (other.now, other.writes_left)
            && self.row == other.row
            && self.routers == other.routers
            && self.fences == other.fences
    }
}

impl Eq for LeaseModel {}

impl Hash for LeaseModel {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.now, self.writes_left, &self.row, &self.routers, &self.fences).hash(state);
    }
}

fn address(number: usize) -> HomeAddress {
    let instance = InstanceName::new(format!("r{number}")).expect("a valid name");
    HomeAddress { instance, incarnation: 1, shard: 0 }
}

impl LeaseModel {
    /// Creates a model without a lease holder, bounded by a number of clock steps and writes.
    #[must_use]
    pub fn new(variant: LeaseVariant, routers: usize, ticks: u8, writes: u8) -> Self {
        let router = |number| LeaseRouter {
            lease: LeasePhase::Watching(LeaseState::watch(address(number), Self::options())),
            read: None,
            write: None,
        };
        Self {
            variant,
            ticks_left: ticks,
            writes_left: writes,
            now: MonoTime::ZERO,
            row: None,
            routers: (0..routers).map(router).collect(),
            fences: BTreeMap::new(),
            step: String::new(),
        }
    }

    fn options() -> LeaseOptions {
        LeaseOptions {
            period: 3 * TICK,
            margin: Duration::ZERO,
            renewal: TICK,
            longest_order: TICK,
        }
    }

    fn apply(&self, step: String, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.step = step;
        change(&mut next);
        next
    }

    /// Returns the write that a router would send now, if any.
    fn next_write(&mut self, router: usize) -> Option<LeaseWrite> {
        let is_takeover = matches!(self.routers[router].lease, LeasePhase::Watching(_));
        let mut write = match &mut self.routers[router].lease {
            LeasePhase::Watching(lease) if self.variant == LeaseVariant::EarlyTakeover => {
                let early = lease.next_write(self.now + 2 * TICK)?;
                LeaseWrite { sent_at: self.now, ..early }
            }
            LeasePhase::Watching(lease) => lease.next_write(self.now)?,
            LeasePhase::Held(lease) => lease.next_write(self.now)?,
        };
        if self.variant == LeaseVariant::StaleReadConfirms {
            write.row.write = 0;
        }
        if self.variant == LeaseVariant::SameFence && is_takeover && write.expected.is_some() {
            write.row.fence -= 1;
        }
        Some(write)
    }

    fn process_write(&mut self, router: usize) {
        let Some((write, result)) = &mut self.routers[router].write else { return };
        let succeeded = write.expected == self.row;
        *result = Some(succeeded);
        if succeeded {
            self.row = Some(write.row.clone());
        }
    }

    /// Updates a router's lease state after a successful write.
    fn on_write_succeeded(&mut self, router: usize, mut write: LeaseWrite) {
        if self.variant == LeaseVariant::CountFromReply {
            write.sent_at = self.now;
        }
        let fence = write.row.fence;
        let lease = &mut self.routers[router].lease;
        let next = match lease.clone() {
            LeasePhase::Watching(lease) => LeasePhase::Held(lease.acquire(&write)),
            LeasePhase::Held(mut lease) => {
                lease.record_renewal(&write);
                LeasePhase::Held(lease)
            }
        };
        *lease = next;
        self.record_fence_holder(router, fence);
    }

    fn record_fence_holder(&mut self, router: usize, fence: u64) {
        // Fencing numbers start at 1, so key 0 is free to mark a number with two holders.
        let first = *self.fences.entry(fence).or_insert(router);
        if first != router {
            self.fences.insert(0, router);
        }
    }

    fn on_read(&mut self, router: usize) {
        let Some(row) = self.routers[router].read.take() else { return };
        // A read of the written row confirms a write whose reply was lost.
        if let Some((mut write, _)) = self.routers[router].write.clone()
            && row.as_ref() == Some(&write.row)
        {
            if self.variant == LeaseVariant::CountFromConfirmingRead {
                write.sent_at = self.now;
            }
            self.routers[router].write = None;
            return self.on_write_succeeded(router, write);
        }
        match &mut self.routers[router].lease {
            LeasePhase::Watching(lease) => lease.observe(self.now, row),
            LeasePhase::Held(lease) => {
                let is_lost = row.as_ref().is_none_or(|row| row.holder != address(router));
                if is_lost {
                    self.routers[router].lease = LeasePhase::Watching(lease.clone().relinquish());
                }
            }
        }
    }

    fn router_steps(&self, router: usize, next: &mut Vec<Self>) {
        let state = &self.routers[router];
        if let LeasePhase::Held(lease) = &state.lease
            && lease.has_ended(self.now)
        {
            next.push(self.apply(format!("r{router}'s lease ends"), |model| {
                let LeasePhase::Held(lease) = model.routers[router].lease.clone() else { return };
                model.routers[router].lease = LeasePhase::Watching(lease.relinquish());
            }));
        }
        if state.read.is_none() {
            next.push(self.apply(format!("r{router} reads the row"), |model| {
                model.routers[router].read = Some(model.row.clone());
            }));
        } else {
            next.push(self.apply(format!("r{router} receives the row"), |model| {
                model.on_read(router);
            }));
        }
        match &state.write {
            None => {
                if self.writes_left > 0
                    && let Some(write) = self.clone().next_write(router)
                {
                    next.push(self.apply(format!("r{router} sends {:?}", write.row), |model| {
                        model.writes_left -= 1;
                        let write = model.next_write(router);
                        model.routers[router].write = write.map(|write| (write, None));
                    }));
                }
            }
            Some((_, None)) => {
                next.push(self.apply(format!("the store processes r{router}'s write"), |model| {
                    model.process_write(router);
                }));
            }
            Some((write, Some(succeeded))) => {
                let (write, succeeded) = (write.clone(), *succeeded);
                next.push(self.apply(
                    format!("r{router} receives the reply to its write"),
                    |model| {
                        model.routers[router].write = None;
                        if succeeded {
                            model.on_write_succeeded(router, write);
                        }
                    },
                ));
            }
        }
    }
}

impl ModelState for LeaseModel {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for router in 0..self.routers.len() {
            self.router_steps(router, &mut next);
        }
        if self.ticks_left > 0 {
            next.push(self.apply("time advances by a second".to_owned(), |model| {
                model.ticks_left -= 1;
                model.now = model.now + TICK;
            }));
        }
        next
    }

    fn violation(&self) -> Option<String> {
        if self.fences.contains_key(&0) {
            return Some("two holders have the same fencing number".to_owned());
        }
        let permits = self.routers.iter().filter(|router| {
            matches!(
                &router.lease,
                LeasePhase::Held(lease) if lease.permit(self.now).is_some()
            )
        });
        let count = permits.count();
        (count > 1).then(|| format!("{count} routers may give orders at the same time"))
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
