use std::collections::BTreeMap;

use kwg_decide::{
    JudgeOptions, JudgeVerdict, QuantileTracker, SampleBatch, SampleKey, VersionJudge,
};
use kwg_model::{HomeAddress, PoolName, PoolRow, RouteName, TableSet, VersionMove, VersionName};

use super::ControlEvent;
use crate::VersionSample;

/// Number of answers of the old version on a route before its latency quantile is used.
const TRACKER_WARM_UP: u64 = 50;

/// The canary judges of version moves in progress, and the braked versions.
#[derive(Debug, Default)]
pub(super) struct MoveTracker {
    moves: BTreeMap<PoolName, JudgedMove>,
    /// Braked versions, each with the evidence.
    brakes: BTreeMap<(PoolName, VersionName), String>,
    /// Samples of this router not yet sent to the leader.
    unsent: BTreeMap<SampleKey, SampleBatch>,
    /// All samples of this router, for a new leader.
    totals: BTreeMap<SampleKey, SampleBatch>,
    /// The leader that received the last samples.
    last_leader: Option<HomeAddress>,
}

/// A version move as judged by this router, from its own samples and those received.
#[derive(Debug)]
struct JudgedMove {
    to: VersionName,
    started_ms: u64,
    judge: VersionJudge,
    /// Latency quantile of the old version, by route.
    trackers: BTreeMap<RouteName, QuantileTracker>,
}

impl MoveTracker {
    /// Applies new tables: adds the moves that have started and removes those that have ended.
    pub(super) fn on_tables(&mut self, tables: &TableSet) {
        self.moves.retain(|pool, judged| {
            active_move(tables, pool)
                .is_some_and(|row| row.to == judged.to && row.started_ms == judged.started_ms)
        });
        self.brakes.retain(|(pool, version), _| {
            active_move(tables, pool).is_some_and(|row| row.to == *version)
        });
        let moves = &self.moves;
        self.totals.retain(|key, _| moves.contains_key(&key.pool));
        self.unsent.retain(|key, _| moves.contains_key(&key.pool));
        for (pool, row) in active_moves(tables) {
            let routes = tables.routes.values().filter(|route| route.pool == pool.name).count();
            self.moves.entry(pool.name.clone()).or_insert_with(|| JudgedMove {
                to: row.to.clone(),
                started_ms: row.started_ms,
                judge: VersionJudge::new(JudgeOptions::default(), routes),
                trackers: BTreeMap::new(),
            });
        }
    }

    /// Returns whether any version move is in progress.
    pub(super) fn has_moves(&self) -> bool {
        !self.moves.is_empty()
    }

    /// Records an answer measured by this router.
    pub(super) fn record_sample(&mut self, sample: &VersionSample) {
        let Some(judged) = self.moves.get_mut(&sample.key.pool) else { return };
        let is_new = sample.key.version == judged.to;
        let tracker = judged.trackers.entry(sample.key.route.clone());
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
        self.record_batch(&sample.key, &batch);
    }

    /// Records answers measured by this or another router.
    pub(super) fn record_batch(&mut self, key: &SampleKey, batch: &SampleBatch) {
        let Some(judged) = self.moves.get_mut(&key.pool) else { return };
        if key.version == judged.to {
            judged.judge.add_new(&key.route, batch);
        } else {
            judged.judge.add_old(&key.route, batch);
        }
    }

    /// Returns the samples to send to this leader: those not yet sent, or all samples if the leader
    /// has changed. Nothing is unsent afterwards.
    pub(super) fn take_unsent(&mut self, leader: &HomeAddress) -> Vec<(SampleKey, SampleBatch)> {
        let unsent = std::mem::take(&mut self.unsent);
        let is_new = self.last_leader.as_ref() != Some(leader);
        self.last_leader = Some(leader.clone());
        if is_new {
            self.totals.clone().into_iter().collect()
        } else {
            unsent.into_iter().collect()
        }
    }

    /// Returns the versions judged bad that are not braked yet, with the evidence.
    pub(super) fn bad_versions(&self) -> Vec<(PoolName, VersionName, String)> {
        let moves = self.moves.iter().filter_map(|(pool, judged)| match judged.judge.verdict() {
            JudgeVerdict::Bad(evidence) => Some((pool.clone(), judged.to.clone(), evidence)),
            JudgeVerdict::Good(_) | JudgeVerdict::Undecided => None,
        });
        let braked = |pool: &PoolName, version: &VersionName| {
            self.brakes.contains_key(&(pool.clone(), version.clone()))
        };
        moves.filter(|(pool, version, _)| !braked(pool, version)).collect()
    }

    /// Brakes a version. Returns `false` if it is already braked or no such move is in progress.
    pub(super) fn brake(&mut self, pool: PoolName, version: VersionName, evidence: String) -> bool {
        let is_known = self.moves.get(&pool).is_some_and(|judged| judged.to == version);
        is_known && self.brakes.insert((pool, version), evidence).is_none()
    }

    pub(super) fn brakes(&self) -> &BTreeMap<(PoolName, VersionName), String> {
        &self.brakes
    }

    /// Returns the judge's verdict on a pool's move, and the evidence of the brake, if any.
    pub(super) fn verdict_and_brake(&self, pool: &PoolName) -> (JudgeVerdict, Option<&str>) {
        let Some(judged) = self.moves.get(pool) else { return (JudgeVerdict::Undecided, None) };
        let brake = self.brakes.get(&(pool.clone(), judged.to.clone()));
        (judged.judge.verdict(), brake.map(String::as_str))
    }
}

/// Returns the pools with a version move in progress.
pub(super) fn active_moves(tables: &TableSet) -> impl Iterator<Item = (&PoolRow, &VersionMove)> {
    let moves = tables.pools.values().filter_map(|pool| Some((pool, pool.version_move.as_ref()?)));
    moves.filter(|(_, row)| !row.has_ended())
}

fn active_move<'a>(tables: &'a TableSet, pool: &PoolName) -> Option<&'a VersionMove> {
    let row = tables.pools.get(pool)?.version_move.as_ref()?;
    (!row.has_ended()).then_some(row)
}

/// Returns an event for each move whose phase differs between two table revisions.
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
