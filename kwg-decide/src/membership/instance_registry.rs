use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{InstanceKind, InstanceName, InstanceRow, TargetName};

/// The platform's instance list, as last read or received from another router.
///
/// Updates that are not newer than the current version are ignored.
#[derive(Debug, Clone, Default)]
pub struct InstanceRegistry {
    version: u64,
    rows: BTreeMap<String, InstanceRow>,
}

impl InstanceRegistry {
    /// Returns the version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the whole list. Returns the rows that are new or changed, or `None` if the list
    /// is not newer.
    pub fn replace(&mut self, version: u64, rows: Vec<InstanceRow>) -> Option<Vec<InstanceRow>> {
        if version <= self.version {
            return None;
        }
        let new_rows: BTreeMap<String, InstanceRow> =
            rows.into_iter().map(|row| (row.name.clone(), row)).collect();
        let changed = new_rows.values().filter(|row| self.rows.get(&row.name) != Some(*row));
        let changed = changed.cloned().collect();
        self.version = version;
        self.rows = new_rows;
        Some(changed)
    }

    /// Applies changed rows received from another router; returns whether any of them was new or
    /// different.
    ///
    /// The version stays unchanged, because the list itself has yet to be read.
    pub fn patch(&mut self, version: u64, rows: Vec<InstanceRow>) -> bool {
        if version <= self.version {
            return false;
        }
        let mut any_new = false;
        for row in rows {
            any_new |= self.rows.get(&row.name) != Some(&row);
            self.rows.insert(row.name.clone(), row);
        }
        any_new
    }

    /// Returns the targets that are about to stop.
    #[must_use]
    pub fn leaving_targets(&self) -> BTreeSet<TargetName> {
        let targets = self.rows.values().filter(|row| row.kind == InstanceKind::Target);
        let leaving = targets.filter(|row| row.leaving);
        leaving.filter_map(|row| TargetName::new(&row.name).ok()).collect()
    }

    /// Returns the routers of the list with their rows.
    pub fn routers(&self) -> impl Iterator<Item = (InstanceName, &InstanceRow)> {
        let routers = self.rows.values().filter(|row| row.kind == InstanceKind::Router);
        routers.filter_map(|row| Some((InstanceName::new(&row.name).ok()?, row)))
    }
}
