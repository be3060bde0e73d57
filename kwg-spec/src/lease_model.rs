use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use kwg_decide::{Held, LeaseOptions, LeaseRow, LeaseSeat, LeaseWrite, Watching};
use kwg_model::{HomeAddress, InstanceName, MonoTime};

use crate::SpecWorld;

/// The lease as built, or broken in one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseVariant {
    /// As built.
    Sound,
    /// The lease is counted from the answer to a write, not from its sending.
    CountFromAnswer,
    /// The lease is taken before the row has stood unchanged for the whole period.
    EarlyTakeover,
    /// A new holder keeps the fencing number.
    SameFence,
    /// A write whose answer was lost counts from the reading that settles it.
    SettleFromReading,
    /// Writes carry no number of their own, so that a reading from before a write may settle
    /// it. The first version of the lease was like this.
    OldReadingCounts,
}

impl LeaseVariant {
    /// Every broken variant.
    pub const BROKEN: [Self; 5] = [
        Self::CountFromAnswer,
        Self::EarlyTakeover,
        Self::SameFence,
        Self::SettleFromReading,
        Self::OldReadingCounts,
    ];
}

/// Length of one step of the world's time.
const TICK: Duration = Duration::from_secs(1);

/// Routers that compete for the lease over a store that is slow, loses answers and may be away
/// for as long as it likes: everything in flight may stay there.
#[derive(Debug, Clone)]
pub struct LeaseWorld {
    variant: LeaseVariant,
    ticks_left: u8,
    writes_left: u8,
    now: MonoTime,
    row: Option<LeaseRow>,
    routers: Vec<LeaseRouter>,
    /// Who held the lease under each fencing number.
    fences: BTreeMap<u64, usize>,
    step: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LeaseRouter {
    seat: Seat,
    /// A reading on its way.
    reading: Option<Option<LeaseRow>>,
    /// A write that was sent, and what became of it once the store has handled it.
    write: Option<(LeaseWrite, Option<bool>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Seat {
    Watching(LeaseSeat<Watching>),
    Held(LeaseSeat<Held>),
}

/// Two states are the same whatever step led to them.
impl PartialEq for LeaseWorld {
    fn eq(&self, other: &Self) -> bool {
        (self.now, self.writes_left) == (other.now, other.writes_left)
            && self.row == other.row
            && self.routers == other.routers
            && self.fences == other.fences
    }
}

impl Eq for LeaseWorld {}

impl Hash for LeaseWorld {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.now, self.writes_left, &self.row, &self.routers, &self.fences).hash(state);
    }
}

fn address(number: usize) -> HomeAddress {
    let instance = InstanceName::new(format!("r{number}")).expect("a valid name");
    HomeAddress { instance, incarnation: 1, shard: 0 }
}

impl LeaseWorld {
    /// A world of so many routers, ticks and writes, without a holder.
    #[must_use]
    pub fn new(variant: LeaseVariant, routers: usize, ticks: u8, writes: u8) -> Self {
        let router = |number| LeaseRouter {
            seat: Seat::Watching(LeaseSeat::watch(address(number), Self::options())),
            reading: None,
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

    fn after(&self, step: String, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.step = step;
        change(&mut next);
        next
    }

    /// The write that a router would send now.
    fn wanted(&mut self, router: usize) -> Option<LeaseWrite> {
        let is_takeover = matches!(self.routers[router].seat, Seat::Watching(_));
        let mut write = match &mut self.routers[router].seat {
            Seat::Watching(seat) if self.variant == LeaseVariant::EarlyTakeover => {
                let early = seat.wants_write(self.now + 2 * TICK)?;
                LeaseWrite { sent_at: self.now, ..early }
            }
            Seat::Watching(seat) => seat.wants_write(self.now)?,
            Seat::Held(seat) => seat.wants_write(self.now)?,
        };
        if self.variant == LeaseVariant::OldReadingCounts {
            write.row.write = 0;
        }
        if self.variant == LeaseVariant::SameFence && is_takeover && write.expected.is_some() {
            write.row.fence -= 1;
        }
        Some(write)
    }

    fn store_handles(&mut self, router: usize) {
        let Some((write, result)) = &mut self.routers[router].write else { return };
        let holds = write.expected == self.row;
        *result = Some(holds);
        if holds {
            self.row = Some(write.row.clone());
        }
    }

    /// Acts on a write that took effect.
    fn won(&mut self, router: usize, mut write: LeaseWrite) {
        if self.variant == LeaseVariant::CountFromAnswer {
            write.sent_at = self.now;
        }
        let fence = write.row.fence;
        let place = &mut self.routers[router].seat;
        let next = match place.clone() {
            Seat::Watching(seat) => Seat::Held(seat.take(&write)),
            Seat::Held(mut seat) => {
                seat.renewed(&write);
                Seat::Held(seat)
            }
        };
        *place = next;
        self.note_fence(router, fence);
    }

    fn note_fence(&mut self, router: usize, fence: u64) {
        // A second holder of a number shows as number zero.
        let first = *self.fences.entry(fence).or_insert(router);
        if first != router {
            self.fences.insert(0, router);
        }
    }

    fn take_reading(&mut self, router: usize) {
        let Some(reading) = self.routers[router].reading.take() else { return };
        // A write without an answer is settled by the row that it left.
        if let Some((mut write, _)) = self.routers[router].write.clone()
            && reading.as_ref() == Some(&write.row)
        {
            if self.variant == LeaseVariant::SettleFromReading {
                write.sent_at = self.now;
            }
            self.routers[router].write = None;
            return self.won(router, write);
        }
        match &mut self.routers[router].seat {
            Seat::Watching(seat) => seat.observe(self.now, reading),
            Seat::Held(seat) => {
                let is_lost = reading.as_ref().is_none_or(|row| row.holder != address(router));
                if is_lost {
                    self.routers[router].seat = Seat::Watching(seat.clone().lose());
                }
            }
        }
    }

    fn router_steps(&self, router: usize, next: &mut Vec<Self>) {
        let state = &self.routers[router];
        if let Seat::Held(seat) = &state.seat
            && seat.has_ended(self.now)
        {
            next.push(self.after(format!("r{router} sees its lease end"), |world| {
                let Seat::Held(seat) = world.routers[router].seat.clone() else { return };
                world.routers[router].seat = Seat::Watching(seat.lose());
            }));
        }
        if state.reading.is_none() {
            next.push(self.after(format!("r{router} reads the row"), |world| {
                world.routers[router].reading = Some(world.row.clone());
            }));
        } else {
            next.push(self.after(format!("r{router}'s reading arrives"), |world| {
                world.take_reading(router);
            }));
        }
        match &state.write {
            None => {
                if self.writes_left > 0
                    && let Some(write) = self.clone().wanted(router)
                {
                    next.push(self.after(format!("r{router} sends {:?}", write.row), |world| {
                        world.writes_left -= 1;
                        let write = world.wanted(router);
                        world.routers[router].write = write.map(|write| (write, None));
                    }));
                }
            }
            Some((_, None)) => {
                next.push(self.after(format!("the store handles r{router}'s write"), |world| {
                    world.store_handles(router);
                }));
            }
            Some((write, Some(won))) => {
                let (write, won) = (write.clone(), *won);
                next.push(self.after(format!("r{router} gets its answer"), |world| {
                    world.routers[router].write = None;
                    if won {
                        world.won(router, write);
                    }
                }));
            }
        }
    }
}

impl SpecWorld for LeaseWorld {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for router in 0..self.routers.len() {
            self.router_steps(router, &mut next);
        }
        if self.ticks_left > 0 {
            next.push(self.after("a second passes".to_owned(), |world| {
                world.ticks_left -= 1;
                world.now = world.now + TICK;
            }));
        }
        next
    }

    fn violation(&self) -> Option<String> {
        if self.fences.contains_key(&0) {
            return Some("two holders have the same fencing number".to_owned());
        }
        let permits = self.routers.iter().filter(
            |router| matches!(&router.seat, Seat::Held(seat) if seat.permit(self.now).is_some()),
        );
        let count = permits.count();
        (count > 1).then(|| format!("{count} routers may give orders at the same time"))
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
