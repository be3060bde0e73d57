use kwg_model::{FleetSnapshot, MovePhase, PoolRow, TargetName, TargetRow, VersionName};
use rand::Rng;

/// Traffic share of a canary, in percent.
const CANARY_PERCENT: u8 = 4;

/// Splits traffic between the old and the new version while a move is in progress.
///
/// Every router applies the split on its own, so a circuit breaker takes effect without the
/// leader.
#[derive(Debug, Clone, Copy)]
pub struct VersionSplit;

impl VersionSplit {
    /// Returns the traffic share of the new version, in percent.
    #[must_use]
    pub fn percent(pool: &PoolRow) -> u8 {
        match pool.version_move.as_ref().map(|row| row.phase) {
            Some(MovePhase::Canary) => CANARY_PERCENT,
            Some(MovePhase::Ramping(percent)) => percent,
            Some(MovePhase::Soaking) => 100,
            _ => 0,
        }
    }

    /// Selects the version for one request at random, by the traffic share.
    pub fn choose<'a>(
        fleet: &FleetSnapshot,
        pool: &'a PoolRow,
        rng: &mut impl Rng,
    ) -> &'a VersionName {
        let Some(row) = &pool.version_move else { return &pool.version };
        let percent = Self::percent(pool);
        let is_braked = fleet.braked.contains(&(pool.name.clone(), row.to.clone()));
        if is_braked || rng.random_range(0..100) >= percent { &pool.version } else { &row.to }
    }

    /// Returns the target to keep at its limit with requests of either version, so that a canary
    /// runs under the load of a full target.
    #[must_use]
    pub fn saturated_target(pool: &PoolRow) -> Option<&TargetName> {
        let row = pool.version_move.as_ref()?;
        (row.phase == MovePhase::Canary).then(|| row.loaded.first()).flatten()
    }

    /// Returns whether a target may serve a version.
    ///
    /// A canary is served by a single target, so that it runs under the load of a full target:
    /// some versions fail only under load.
    #[must_use]
    pub fn serves(pool: &PoolRow, target: &TargetRow, version: &VersionName) -> bool {
        let Some(row) = pool.version_move.as_ref().filter(|row| row.to == *version) else {
            return target.version == *version;
        };
        match row.phase {
            MovePhase::Canary => row.loaded.first() == Some(&target.name),
            _ => row.loaded.contains(&target.name),
        }
    }
}
