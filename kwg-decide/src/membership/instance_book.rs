use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{InstanceKind, InstanceName, InstanceRow, TargetName};

/// The platform's instance list as last read or passed on. It is applied upwards only.
#[derive(Debug, Clone, Default)]
pub struct InstanceBook {
    version: u64,
    rows: BTreeMap<String, InstanceRow>,
}

impl InstanceBook {
    /// The version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a whole list; gives the rows that are new or changed, `None` if it is not newer.
    pub fn replace(&mut self, version: u64, rows: Vec<InstanceRow>) -> Option<Vec<InstanceRow>> {
        if version <= self.version {
            return None;
        }
        let fresh: BTreeMap<String, InstanceRow> =
            rows.into_iter().map(|row| (row.name.clone(), row)).collect();
        let changed = fresh.values().filter(|row| self.rows.get(&row.name) != Some(*row));
        let changed = changed.cloned().collect();
        self.version = version;
        self.rows = fresh;
        Some(changed)
    }

    /// Takes rows that another router saw change; whether any was news. The version stays: the
    /// list itself is still to be read.
    pub fn patch(&mut self, version: u64, rows: Vec<InstanceRow>) -> bool {
        if version <= self.version {
            return false;
        }
        let mut news = false;
        for row in rows {
            news |= self.rows.get(&row.name) != Some(&row);
            self.rows.insert(row.name.clone(), row);
        }
        news
    }

    /// The targets that are leaving.
    #[must_use]
    pub fn leaving_targets(&self) -> BTreeSet<TargetName> {
        let targets = self.rows.values().filter(|row| row.kind == InstanceKind::Target);
        let leaving = targets.filter(|row| row.leaving);
        leaving.filter_map(|row| TargetName::new(&row.name).ok()).collect()
    }

    /// The routers of the list with their rows.
    pub fn routers(&self) -> impl Iterator<Item = (InstanceName, &InstanceRow)> {
        let routers = self.rows.values().filter(|row| row.kind == InstanceKind::Router);
        routers.filter_map(|row| Some((InstanceName::new(&row.name).ok()?, row)))
    }
}
