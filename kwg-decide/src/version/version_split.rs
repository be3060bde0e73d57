use kwg_model::{FleetSnapshot, MovePhase, PoolRow, TargetName, TargetRow, VersionName};
use rand::Rng;

/// Share of traffic that tests a new version, in percent.
const CANARY_PERCENT: u8 = 4;

/// Which version serves a request, and on which targets, while a move is under way.
///
/// Every router enforces the shares by itself; a brake needs nobody's permission.
#[derive(Debug, Clone, Copy)]
pub struct VersionSplit;

impl VersionSplit {
    /// The share of the new version, in percent.
    #[must_use]
    pub fn percent(pool: &PoolRow) -> u8 {
        match pool.version_move.as_ref().map(|row| row.phase) {
            Some(MovePhase::Canary) => CANARY_PERCENT,
            Some(MovePhase::Ramping(percent)) => percent,
            Some(MovePhase::Soaking) => 100,
            _ => 0,
        }
    }

    /// The version for one request.
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

    /// The target that is to be kept at its limit, whatever version it serves, so that a canary
    /// meets the load of a full target.
    #[must_use]
    pub fn filled_first(pool: &PoolRow) -> Option<&TargetName> {
        let row = pool.version_move.as_ref()?;
        (row.phase == MovePhase::Canary).then(|| row.loaded.first()).flatten()
    }

    /// Whether a target may serve a version.
    ///
    /// A canary is served by one target only, so that it meets the load of a full target: some
    /// versions fail only under load.
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
