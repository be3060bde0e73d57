use std::collections::BTreeMap;

use kwg_decide::{
    JudgeOptions, JudgeVerdict, QuantileTracker, SampleBatch, SampleKey, VersionJudge,
};
use kwg_model::{HomeAddress, PoolName, PoolRow, RouteName, TableSet, VersionMove, VersionName};

use super::ControlEvent;
use crate::VersionSample;

/// Answers of the old version on a route before its slowness is measured.
const TRACKER_WARM_UP: u64 = 50;

/// The judges of the version moves under way, and the brakes.
#[derive(Debug, Default)]
pub(super) struct MoveDesk {
    cases: BTreeMap<PoolName, MoveCase>,
    brakes: BTreeMap<(PoolName, VersionName), String>,
    /// Samples of this router that the leader has not been sent yet.
    unsent: BTreeMap<SampleKey, SampleBatch>,
    /// All samples of this router, for a leader that is new.
    totals: BTreeMap<SampleKey, SampleBatch>,
    /// The leader that was sent the last samples.
    told: Option<HomeAddress>,
}

/// One move as this router judges it, from its own samples and those that it was sent.
#[derive(Debug)]
struct MoveCase {
    to: VersionName,
    started_ms: u64,
    judge: VersionJudge,
    trackers: BTreeMap<RouteName, QuantileTracker>,
}

impl MoveDesk {
    /// Follows the tables: opens a case for each move, closes those that have ended.
    pub(super) fn on_tables(&mut self, tables: &TableSet) {
        self.cases.retain(|pool, case| {
            active_move(tables, pool)
                .is_some_and(|row| row.to == case.to && row.started_ms == case.started_ms)
        });
        self.brakes.retain(|(pool, version), _| {
            active_move(tables, pool).is_some_and(|row| row.to == *version)
        });
        let cases = &self.cases;
        self.totals.retain(|key, _| cases.contains_key(&key.pool));
        self.unsent.retain(|key, _| cases.contains_key(&key.pool));
        for (pool, row) in active_moves(tables) {
            let routes = tables.routes.values().filter(|route| route.pool == pool.name).count();
            self.cases.entry(pool.name.clone()).or_insert_with(|| MoveCase {
                to: row.to.clone(),
                started_ms: row.started_ms,
                judge: VersionJudge::new(JudgeOptions::default(), routes),
                trackers: BTreeMap::new(),
            });
        }
    }

    /// Whether any move is under way.
    pub(super) fn is_busy(&self) -> bool {
        !self.cases.is_empty()
    }

    /// Counts an answer of this router.
    pub(super) fn note_sample(&mut self, sample: &VersionSample) {
        let Some(case) = self.cases.get_mut(&sample.key.pool) else { return };
        let is_new = sample.key.version == case.to;
        let tracker = case.trackers.entry(sample.key.route.clone());
        let quantile = JudgeOptions::default().slow_quantile;
        let tracker = tracker.or_insert_with(|| QuantileTracker::new(quantile));
        let limit = tracker.value().filter(|_| tracker.count() >= TRACKER_WARM_UP);
        let mut batch = SampleBatch { count: 1, ..SampleBatch::default() };
        batch.failures = u64::from(sample.failed);
        if let (false, Some(limit)) = (sample.failed, limit) {
            batch.timed = 1;
            batch.slow = u64::from(sample.micros_per_token > limit);
        }
        if !is_new && !sample.failed {
            tracker.add(sample.micros_per_token);
        }
        self.unsent.entry(sample.key.clone()).or_default().add(&batch);
        self.totals.entry(sample.key.clone()).or_default().add(&batch);
        self.note_batch(&sample.key, &batch);
    }

    /// Counts answers of this or another router.
    pub(super) fn note_batch(&mut self, key: &SampleKey, batch: &SampleBatch) {
        let Some(case) = self.cases.get_mut(&key.pool) else { return };
        if key.version == case.to {
            case.judge.add_new(&key.route, batch);
        } else {
            case.judge.add_old(&key.route, batch);
        }
    }

    /// Takes the samples that this leader has not been sent yet: all, if it is new.
    pub(super) fn take_unsent(&mut self, leader: &HomeAddress) -> Vec<(SampleKey, SampleBatch)> {
        let unsent = std::mem::take(&mut self.unsent);
        let is_new = self.told.as_ref() != Some(leader);
        self.told = Some(leader.clone());
        if is_new {
            self.totals.clone().into_iter().collect()
        } else {
            unsent.into_iter().collect()
        }
    }

    /// Versions that this router finds bad and that are not braked yet, with the evidence.
    pub(super) fn found_bad(&self) -> Vec<(PoolName, VersionName, String)> {
        let cases = self.cases.iter().filter_map(|(pool, case)| match case.judge.verdict() {
            JudgeVerdict::Bad(evidence) => Some((pool.clone(), case.to.clone(), evidence)),
            JudgeVerdict::Good(_) | JudgeVerdict::Open => None,
        });
        let braked = |pool: &PoolName, version: &VersionName| {
            self.brakes.contains_key(&(pool.clone(), version.clone()))
        };
        cases.filter(|(pool, version, _)| !braked(pool, version)).collect()
    }

    /// Puts the brake on; `false` if it is on, or no such move is under way.
    pub(super) fn brake(&mut self, pool: PoolName, version: VersionName, evidence: String) -> bool {
        let is_known = self.cases.get(&pool).is_some_and(|case| case.to == version);
        is_known && self.brakes.insert((pool, version), evidence).is_none()
    }

    pub(super) fn brakes(&self) -> &BTreeMap<(PoolName, VersionName), String> {
        &self.brakes
    }

    /// What the judge says of a pool's move, and why a router has braked it.
    pub(super) fn evidence(&self, pool: &PoolName) -> (JudgeVerdict, Option<&str>) {
        let Some(case) = self.cases.get(pool) else { return (JudgeVerdict::Open, None) };
        let brake = self.brakes.get(&(pool.clone(), case.to.clone()));
        (case.judge.verdict(), brake.map(String::as_str))
    }
}

/// The pools whose moves are under way.
pub(super) fn active_moves(tables: &TableSet) -> impl Iterator<Item = (&PoolRow, &VersionMove)> {
    let moves = tables.pools.values().filter_map(|pool| Some((pool, pool.version_move.as_ref()?)));
    moves.filter(|(_, row)| !row.has_ended())
}

fn active_move<'a>(tables: &'a TableSet, pool: &PoolName) -> Option<&'a VersionMove> {
    let row = tables.pools.get(pool)?.version_move.as_ref()?;
    (!row.has_ended()).then_some(row)
}

/// Tells how each move has gone on from one revision to another.
pub(super) fn move_steps(old: &TableSet, new: &TableSet) -> Vec<ControlEvent> {
    let step = |pool: &PoolRow| {
        let before = old.pools.get(&pool.name).and_then(|pool| pool.version_move.as_ref());
        let row = pool.version_move.as_ref()?;
        let has_changed = before.map(|row| (&row.to, row.phase)) != Some((&row.to, row.phase));
        let (pool, row) = (pool.name.clone(), Box::new(row.clone()));
        has_changed.then_some(ControlEvent::MoveStep { pool, row })
    };
    new.pools.values().filter_map(step).collect()
}
