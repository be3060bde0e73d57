use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{PoolName, PoolRow, RouteName, RouteRow, TargetName};

/// The route table and the pool table at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableSet {
    /// Increases with every accepted change; zero before the first.
    pub revision: u64,
    /// Identifies the accepted change, so that an editor whose reply was lost can find out by
    /// reading whether its change was accepted.
    #[serde(default)]
    pub change_id: String,
    /// Who made the change.
    #[serde(default)]
    pub editor: String,
    /// When the change was made, in milliseconds since the Unix epoch by the editor's clock.
    #[serde(default)]
    pub edited_at_ms: u64,
    /// The route table.
    pub routes: BTreeMap<RouteName, RouteRow>,
    /// The pool table.
    pub pools: BTreeMap<PoolName, PoolRow>,
}

/// The error for inconsistent tables.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// A route names a pool that is not in the pool table.
    #[snafu(display("route '{route}': unknown pool '{pool}'"))]
    UnknownPool {
        /// The invalid route.
        route: RouteName,
        /// The pool named by the route.
        pool: PoolName,
    },
    /// A pool has no target.
    #[snafu(display("pool '{pool}': no targets"))]
    NoTarget {
        /// The invalid pool.
        pool: PoolName,
    },
    /// No target of the pool serves the pool's version.
    #[snafu(display("pool '{pool}': no target serves version '{version}'"))]
    NoServingTarget {
        /// The invalid pool.
        pool: PoolName,
        /// The version that no target serves.
        version: String,
    },
    /// Two targets of a pool share a name, so a stream could be looked up at the wrong one.
    #[snafu(display("pool '{pool}': target '{target}' is named twice"))]
    DuplicateTarget {
        /// The invalid pool.
        pool: PoolName,
        /// The target's name.
        target: TargetName,
    },
    /// A target has a limit of zero tokens, so it could never get work.
    #[snafu(display("pool '{pool}': target '{target}': limit_tokens must be at least 1"))]
    ZeroLimit {
        /// The invalid pool.
        pool: PoolName,
        /// The invalid target.
        target: TargetName,
    },
}

impl TableSet {
    /// Checks the consistency of the two tables.
    ///
    /// # Errors
    /// The first [`TableError`] found: pools before routes, each in the order of names.
    ///
    /// ```
    /// assert!(kwg_model::TableSet::default().check().is_ok());
    /// ```
    pub fn check(&self) -> Result<(), TableError> {
        for pool in self.pools.values() {
            check_pool(pool)?;
        }
        for route in self.routes.values() {
            let known = self.pools.contains_key(&route.pool);
            ensure!(
                known,
                UnknownPoolSnafu { route: route.name.clone(), pool: route.pool.clone() }
            );
        }
        Ok(())
    }

    /// Returns the pool that serves a route.
    #[must_use]
    pub fn pool_of(&self, route: &RouteRow) -> Option<&PoolRow> {
        self.pools.get(&route.pool)
    }
}

fn check_pool(pool: &PoolRow) -> Result<(), TableError> {
    ensure!(!pool.targets.is_empty(), NoTargetSnafu { pool: pool.name.clone() });
    let mut seen = BTreeSet::new();
    for target in &pool.targets {
        let names = || (pool.name.clone(), target.name.clone());
        if !seen.insert(&target.name) {
            let (pool, target) = names();
            return DuplicateTargetSnafu { pool, target }.fail();
        }
        if target.limit_tokens == 0 {
            let (pool, target) = names();
            return ZeroLimitSnafu { pool, target }.fail();
        }
    }
    let served = pool.targets.iter().any(|target| target.version == pool.version);
    ensure!(
        served,
        NoServingTargetSnafu { pool: pool.name.clone(), version: pool.version.as_str() }
    );
    Ok(())
}
