use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{PoolName, PoolRow, RouteName, RouteRow, TableSet};

/// The rows that changed between two revisions; `None` marks a removed row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The revision to which the change applies.
    pub base: u64,
    /// The revision after the change.
    pub revision: u64,
    /// Identifies the change.
    pub change_id: String,
    /// Who made the change.
    pub editor: String,
    /// When the change was made, in milliseconds since the Unix epoch by the editor's clock.
    pub edited_at_ms: u64,
    /// Changed routes.
    pub routes: BTreeMap<RouteName, Option<RouteRow>>,
    /// Changed pools.
    pub pools: BTreeMap<PoolName, Option<PoolRow>>,
}

impl TableDelta {
    /// Computes the changes from `old` to `new`.
    ///
    /// ```
    /// use kwg_model::{TableDelta, TableSet};
    ///
    /// let old = TableSet::default();
    /// let new = TableSet { revision: 1, ..TableSet::default() };
    /// let delta = TableDelta::between(&old, &new);
    /// let mut tables = old;
    /// assert!(delta.apply(&mut tables));
    /// assert_eq!(tables, new);
    /// assert!(!delta.apply(&mut tables), "a delta applies once");
    /// ```
    #[must_use]
    pub fn between(old: &TableSet, new: &TableSet) -> Self {
        Self {
            base: old.revision,
            revision: new.revision,
            change_id: new.change_id.clone(),
            editor: new.editor.clone(),
            edited_at_ms: new.edited_at_ms,
            routes: changed_rows(&old.routes, &new.routes),
            pools: changed_rows(&old.pools, &new.pools),
        }
    }

    /// Applies the change if the tables are at its base revision; returns whether it was applied.
    pub fn apply(&self, tables: &mut TableSet) -> bool {
        if tables.revision != self.base || self.revision <= self.base {
            return false;
        }
        apply_rows(&mut tables.routes, &self.routes);
        apply_rows(&mut tables.pools, &self.pools);
        tables.revision = self.revision;
        tables.change_id.clone_from(&self.change_id);
        tables.editor.clone_from(&self.editor);
        tables.edited_at_ms = self.edited_at_ms;
        true
    }
}

fn changed_rows<K: Ord + Clone, R: Clone + PartialEq>(
    old: &BTreeMap<K, R>,
    new: &BTreeMap<K, R>,
) -> BTreeMap<K, Option<R>> {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    let removed = removed.map(|name| (name.clone(), None));
    let changed = new.iter().filter(|(name, row)| old.get(*name) != Some(*row));
    removed.chain(changed.map(|(name, row)| (name.clone(), Some(row.clone())))).collect()
}

fn apply_rows<K: Ord + Clone, R: Clone>(
    rows: &mut BTreeMap<K, R>,
    changes: &BTreeMap<K, Option<R>>,
) {
    for (name, change) in changes {
        match change {
            Some(row) => rows.insert(name.clone(), row.clone()),
            None => rows.remove(name),
        };
    }
}
