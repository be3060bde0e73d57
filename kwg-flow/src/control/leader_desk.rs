use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kwg_decide::{
    Held, LeaseOptions, LeaseRow, LeaseSeat, LeaseWrite, MoveDriver, MoveFacts, Watching,
};
use kwg_model::{
    HomeAddress, MonoTime, MovePhase, PoolName, PoolRow, TableSet, TargetName, VersionMove,
    VersionName,
};

use super::move_desk::{MoveDesk, active_moves};
use super::{ControlOutput, LoadOrder};

/// Time between readings of the lease row while a move is under way.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two edits of moves.
const EDIT_PAUSE: Duration = Duration::from_millis(500);
/// How long the platform or a target has to answer before the question is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The leadership of version moves: the lease, and what its holder does.
#[derive(Debug)]
pub(super) struct LeaderDesk {
    seat: Seat,
    driver: MoveDriver,
    /// A write of the row that has not been settled.
    unsettled: Option<LeaseWrite>,
    /// Until when an answer of the platform is waited for.
    waits_until: MonoTime,
    next_read: MonoTime,
    edit_until: MonoTime,
    orders: BTreeMap<(PoolName, TargetName), MonoTime>,
    loaded: BTreeMap<(PoolName, VersionName), BTreeSet<TargetName>>,
}

#[derive(Debug, Clone)]
enum Seat {
    Watching(LeaseSeat<Watching>),
    Held(LeaseSeat<Held>),
}

impl LeaderDesk {
    pub(super) fn new(own: HomeAddress, options: LeaseOptions) -> Self {
        Self {
            seat: Seat::Watching(LeaseSeat::watch(own, options)),
            driver: MoveDriver::default(),
            unsettled: None,
            waits_until: MonoTime::ZERO,
            next_read: MonoTime::ZERO,
            edit_until: MonoTime::ZERO,
            orders: BTreeMap::new(),
            loaded: BTreeMap::new(),
        }
    }

    /// The fencing number, if this router leads.
    pub(super) fn fence(&self, now: MonoTime) -> Option<u64> {
        match &self.seat {
            Seat::Held(seat) if !seat.has_ended(now) => Some(seat.fence()),
            _ => None,
        }
    }

    /// The router that leads, as far as is known.
    pub(super) fn leader(&self) -> Option<&HomeAddress> {
        match &self.seat {
            Seat::Watching(seat) => seat.holder(),
            Seat::Held(_) => None,
        }
    }

    pub(super) fn on_read(&mut self, now: MonoTime, answer: Option<Option<LeaseRow>>) {
        self.waits_until = MonoTime::ZERO;
        self.next_read = now + READ_INTERVAL;
        let Some(row) = answer else { return };
        // A write whose answer was lost is settled by the row that it left.
        if let Some(write) = self.unsettled.take()
            && row.as_ref() == Some(&write.row)
        {
            return self.won(&write);
        }
        match &mut self.seat {
            Seat::Watching(seat) => seat.observe(now, row),
            Seat::Held(seat) => {
                let fence = seat.fence();
                if row.as_ref().is_none_or(|row| row.fence != fence) {
                    self.lose();
                }
            }
        }
    }

    pub(super) fn on_written(&mut self, now: MonoTime, answer: Option<bool>) {
        self.waits_until = MonoTime::ZERO;
        match (answer, self.unsettled.take()) {
            (Some(true), Some(write)) => self.won(&write),
            (None, write) => {
                self.unsettled = write;
                self.next_read = now;
            }
            // The row is another one than was read: it is read again before the next write.
            (Some(false), _) | (Some(true), None) => self.next_read = MonoTime::ZERO,
        }
    }

    pub(super) fn on_order_done(
        &mut self,
        pool: PoolName,
        target: TargetName,
        version: VersionName,
        loaded: bool,
    ) {
        self.orders.remove(&(pool.clone(), target.clone()));
        if loaded {
            self.loaded.entry((pool, version)).or_default().insert(target);
        }
    }

    pub(super) fn on_edit_tried(&mut self, now: MonoTime) {
        // An edit that was not accepted is not tried again at once: the store may be down.
        self.edit_until = now + EDIT_PAUSE;
    }

    /// Keeps or seeks the lease, and drives the moves while holding it.
    pub(super) fn step(
        &mut self,
        now: MonoTime,
        wall_ms: u64,
        tables: &TableSet,
        moves: &MoveDesk,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if let Seat::Held(seat) = &self.seat
            && seat.has_ended(now)
        {
            self.lose();
        }
        if !moves.is_busy() {
            self.loaded.clear();
            return;
        }
        self.keep_lease(now, outputs);
        if self.fence(now).is_some() && now >= self.edit_until {
            self.drive(now, wall_ms, tables, moves, outputs);
        }
    }

    /// When the desk wants to be asked again.
    pub(super) fn next_wake(&self, now: MonoTime, moves: &MoveDesk) -> Option<MonoTime> {
        const PACE: Duration = Duration::from_millis(200);
        moves.is_busy().then(|| now + PACE)
    }

    fn keep_lease(&mut self, now: MonoTime, outputs: &mut Vec<ControlOutput>) {
        if now < self.waits_until {
            return;
        }
        // A lost answer is settled by reading before anything else is written.
        let write = match &mut self.seat {
            _ if self.unsettled.is_some() => None,
            Seat::Watching(_) if self.next_read == MonoTime::ZERO => None,
            Seat::Watching(seat) => seat.wants_write(now),
            Seat::Held(seat) => seat.wants_write(now),
        };
        if let Some(write) = write {
            self.unsettled = Some(write.clone());
            self.waits_until = now + ANSWER_TIMEOUT;
            outputs.push(ControlOutput::WriteLease(write));
        } else if now >= self.next_read {
            self.waits_until = now + ANSWER_TIMEOUT;
            outputs.push(ControlOutput::ReadLease);
        }
    }

    fn won(&mut self, write: &LeaseWrite) {
        self.seat = match self.seat.clone() {
            Seat::Watching(seat) => Seat::Held(seat.take(write)),
            Seat::Held(mut seat) => {
                seat.renewed(write);
                Seat::Held(seat)
            }
        };
    }

    fn lose(&mut self) {
        if let Seat::Held(seat) = self.seat.clone() {
            self.seat = Seat::Watching(seat.lose());
            self.unsettled = None;
            self.next_read = MonoTime::ZERO;
            self.orders.clear();
        }
    }

    fn drive(
        &mut self,
        now: MonoTime,
        wall_ms: u64,
        tables: &TableSet,
        moves: &MoveDesk,
        outputs: &mut Vec<ControlOutput>,
    ) {
        for (pool, row) in active_moves(tables) {
            if row.phase == MovePhase::Loading {
                self.order_loads(now, pool, row, outputs);
            }
            let (verdict, brake) = moves.evidence(&pool.name);
            let targets = pool.targets.len();
            let facts = MoveFacts { now_ms: wall_ms, targets, verdict: &verdict, brake };
            let current = self.with_loaded(&pool.name, row);
            let next = self.driver.advance(&current, &facts);
            let next = next.or_else(|| (current != *row).then_some(current));
            if let Some(next) = next {
                self.edit_until = now + ANSWER_TIMEOUT;
                let (from, to) = (Box::new(row.clone()), Box::new(next));
                let pool = pool.name.clone();
                return outputs.push(ControlOutput::EditMove { pool, from, to });
            }
        }
    }

    /// The move with the targets that have told this leader of their load.
    fn with_loaded(&self, pool: &PoolName, row: &VersionMove) -> VersionMove {
        let mut row = row.clone();
        if let Some(loaded) = self.loaded.get(&(pool.clone(), row.to.clone())) {
            row.loaded.extend(loaded.iter().cloned());
        }
        row
    }

    fn order_loads(
        &mut self,
        now: MonoTime,
        pool: &PoolRow,
        row: &VersionMove,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let Seat::Held(seat) = &self.seat else { return };
        let known = self.with_loaded(&pool.name, row).loaded;
        for target in pool.targets.iter().filter(|target| !known.contains(&target.name)) {
            let place = (pool.name.clone(), target.name.clone());
            if self.orders.get(&place).is_some_and(|until| now < *until) {
                continue;
            }
            // A target that ignores fencing numbers gets an order only once the last one of the
            // holder before must have ended.
            let permit = match target.heeds_fencing {
                true => seat.permit(now),
                false => seat.unfenced_permit(now),
            };
            let Some(permit) = permit else { continue };
            self.orders.insert(place, now + ANSWER_TIMEOUT);
            outputs.push(ControlOutput::Order(LoadOrder {
                permit,
                pool: pool.name.clone(),
                target: target.name.clone(),
                address: target.address,
                version: row.to.clone(),
            }));
        }
    }
}
