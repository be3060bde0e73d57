use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kwg_decide::{
    Held, LeaseOptions, LeaseRow, LeaseState, LeaseWrite, MoveDriver, MoveInputs, Watching,
};
use kwg_model::{
    HomeAddress, MonoTime, MovePhase, PoolName, PoolRow, TableSet, TargetName, VersionMove,
    VersionName,
};

use super::move_tracker::{MoveTracker, active_moves};
use super::{ControlOutput, LoadOrder};

/// Interval between reads of the lease row while a version move is in progress.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after an edit of a version move before the next one.
const EDIT_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an unanswered request to the platform or a target is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Leadership of version moves: acquires the lease and, while holding it, drives the moves.
#[derive(Debug)]
pub(super) struct LeaderHandler {
    state: LeaderState,
    driver: MoveDriver,
    /// A write of the lease row whose result is not known yet.
    pending_write: Option<LeaseWrite>,
    /// Time until which an answer of the platform is awaited.
    answer_deadline: MonoTime,
    /// When the lease row is read next; zero if, while watching, it must be read before the next
    /// write.
    next_read: MonoTime,
    /// When the next edit of a version move may be made.
    next_edit: MonoTime,
    /// Times after which unanswered orders to load are repeated.
    order_deadlines: BTreeMap<(PoolName, TargetName), MonoTime>,
    /// Targets that reported to this leader that they loaded a version.
    loaded: BTreeMap<(PoolName, VersionName), BTreeSet<TargetName>>,
}

#[derive(Debug, Clone)]
enum LeaderState {
    Watching(LeaseState<Watching>),
    Held(LeaseState<Held>),
}

impl LeaderHandler {
    pub(super) fn new(own: HomeAddress, options: LeaseOptions) -> Self {
        Self {
            state: LeaderState::Watching(LeaseState::watch(own, options)),
            driver: MoveDriver::default(),
            pending_write: None,
            answer_deadline: MonoTime::ZERO,
            next_read: MonoTime::ZERO,
            next_edit: MonoTime::ZERO,
            order_deadlines: BTreeMap::new(),
            loaded: BTreeMap::new(),
        }
    }

    /// Returns the fencing number if this router leads.
    pub(super) fn fence(&self, now: MonoTime) -> Option<u64> {
        match &self.state {
            LeaderState::Held(lease) if !lease.has_ended(now) => Some(lease.fence()),
            _ => None,
        }
    }

    /// Returns the holder in the last lease row read while this router does not lead; that lease
    /// may have ended.
    pub(super) fn leader(&self) -> Option<&HomeAddress> {
        match &self.state {
            LeaderState::Watching(lease) => lease.holder(),
            LeaderState::Held(_) => None,
        }
    }

    pub(super) fn on_read(&mut self, now: MonoTime, answer: Option<Option<LeaseRow>>) {
        self.answer_deadline = MonoTime::ZERO;
        self.next_read = now + READ_INTERVAL;
        let Some(row) = answer else { return };
        // A write whose answer was lost succeeded if the row now has its content.
        if let Some(write) = self.pending_write.take()
            && row.as_ref() == Some(&write.row)
        {
            return self.confirm_write(&write);
        }
        match &mut self.state {
            LeaderState::Watching(lease) => lease.observe(now, row),
            LeaderState::Held(lease) => {
                let fence = lease.fence();
                if row.as_ref().is_none_or(|row| row.fence != fence) {
                    self.step_down();
                }
            }
        }
    }

    pub(super) fn on_written(&mut self, now: MonoTime, answer: Option<bool>) {
        self.answer_deadline = MonoTime::ZERO;
        match (answer, self.pending_write.take()) {
            (Some(true), Some(write)) => self.confirm_write(&write),
            (None, write) => {
                self.pending_write = write;
                self.next_read = now;
            }
            // The row differs from the one read before: read it again before the next write.
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
        self.order_deadlines.remove(&(pool.clone(), target.clone()));
        if loaded {
            self.loaded.entry((pool, version)).or_default().insert(target);
        }
    }

    pub(super) fn on_edit_tried(&mut self, now: MonoTime) {
        // Do not retry a rejected edit immediately: the store may be unavailable.
        self.next_edit = now + EDIT_PAUSE;
    }

    /// Acquires or renews the lease, and drives the moves while holding it.
    pub(super) fn step(
        &mut self,
        now: MonoTime,
        wall_ms: u64,
        tables: &TableSet,
        moves: &MoveTracker,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if let LeaderState::Held(lease) = &self.state
            && lease.has_ended(now)
        {
            self.step_down();
        }
        if !moves.has_moves() {
            self.loaded.clear();
            return;
        }
        self.maintain_lease(now, outputs);
        if self.fence(now).is_some() && now >= self.next_edit {
            self.advance_moves(now, wall_ms, tables, moves, outputs);
        }
    }

    /// Returns the time of the next required call of [`step`](Self::step).
    pub(super) fn next_wake(&self, now: MonoTime, moves: &MoveTracker) -> Option<MonoTime> {
        const STEP_INTERVAL: Duration = Duration::from_millis(200);
        moves.has_moves().then(|| now + STEP_INTERVAL)
    }

    fn maintain_lease(&mut self, now: MonoTime, outputs: &mut Vec<ControlOutput>) {
        if now < self.answer_deadline {
            return;
        }
        // After a lost answer, read the row before writing again.
        let write = match &mut self.state {
            _ if self.pending_write.is_some() => None,
            LeaderState::Watching(_) if self.next_read == MonoTime::ZERO => None,
            LeaderState::Watching(lease) => lease.next_write(now),
            LeaderState::Held(lease) => lease.next_write(now),
        };
        if let Some(write) = write {
            self.pending_write = Some(write.clone());
            self.answer_deadline = now + ANSWER_TIMEOUT;
            outputs.push(ControlOutput::WriteLease(write));
        } else if now >= self.next_read {
            self.answer_deadline = now + ANSWER_TIMEOUT;
            outputs.push(ControlOutput::ReadLease);
        }
    }

    fn confirm_write(&mut self, write: &LeaseWrite) {
        self.state = match self.state.clone() {
            LeaderState::Watching(lease) => LeaderState::Held(lease.acquire(write)),
            LeaderState::Held(mut lease) => {
                lease.record_renewal(write);
                LeaderState::Held(lease)
            }
        };
    }

    fn step_down(&mut self) {
        if let LeaderState::Held(lease) = self.state.clone() {
            self.state = LeaderState::Watching(lease.relinquish());
            self.pending_write = None;
            self.next_read = MonoTime::ZERO;
            self.order_deadlines.clear();
        }
    }

    fn advance_moves(
        &mut self,
        now: MonoTime,
        wall_ms: u64,
        tables: &TableSet,
        moves: &MoveTracker,
        outputs: &mut Vec<ControlOutput>,
    ) {
        for (pool, row) in active_moves(tables) {
            if row.phase == MovePhase::Loading {
                self.order_loads(now, pool, row, outputs);
            }
            let (verdict, brake_evidence) = moves.verdict_and_brake(&pool.name);
            let targets = pool.targets.len();
            let inputs = MoveInputs { now_ms: wall_ms, targets, verdict: &verdict, brake_evidence };
            let current = self.with_loaded(&pool.name, row);
            let next = self.driver.advance(&current, &inputs);
            let next = next.or_else(|| (current != *row).then_some(current));
            if let Some(next) = next {
                self.next_edit = now + ANSWER_TIMEOUT;
                let (from, to) = (Box::new(row.clone()), Box::new(next));
                let pool = pool.name.clone();
                return outputs.push(ControlOutput::EditMove { pool, from, to });
            }
        }
    }

    /// Returns the move with the targets that have reported to this leader that they loaded the
    /// version.
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
        let LeaderState::Held(lease) = &self.state else { return };
        let loaded = self.with_loaded(&pool.name, row).loaded;
        for target in pool.targets.iter().filter(|target| !loaded.contains(&target.name)) {
            let order_key = (pool.name.clone(), target.name.clone());
            if self.order_deadlines.get(&order_key).is_some_and(|until| now < *until) {
                continue;
            }
            // A target that ignores fencing numbers gets an order only after the last order of the
            // previous leader must have ended.
            let permit = match target.heeds_fencing {
                true => lease.permit(now),
                false => lease.unfenced_permit(now),
            };
            let Some(permit) = permit else { continue };
            self.order_deadlines.insert(order_key, now + ANSWER_TIMEOUT);
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
