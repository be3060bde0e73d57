use std::collections::HashMap;
use std::time::Duration;

use kwg_model::MonoTime;

use super::cold_view::ColdView;
use crate::stable_hash::StableHash;
use crate::{ColdOptions, ColdRule, ServiceName};

/// Time after the last change of the instances from which all of them have the same list.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// What the limits of all cold targets depend on.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdFleet {
    pub(crate) rules: HashMap<ServiceName, ColdRule>,
    pub(crate) options: ColdOptions,
    pub(crate) view: ColdView,
    /// Whether the instances have changed since the last call of [`Self::refresh`].
    has_changed: bool,
    changed: Option<MonoTime>,
    is_settled: bool,
}

impl ColdFleet {
    /// Records that the list of instances has changed.
    pub(crate) fn record_change(&mut self) {
        (self.has_changed, self.is_settled) = (true, false);
    }

    /// Applies how much of the fleet the instance is in touch with; returns whether that has changed.
    pub(crate) fn refresh(&mut self, view: ColdView, now: MonoTime) -> bool {
        let before = std::mem::replace(&mut self.view, view);
        // A peer that falls silent takes nothing from others, one that returns does.
        if self.has_changed || view.part() > before.part() || !view.has_heard {
            (self.changed, self.has_changed) = (Some(now), false);
        }
        self.is_settled = self.changed.is_some_and(|at| now.since(at) >= SETTLE_TIME);
        view != before
    }

    /// Whether all instances are likely to have the same list.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Place of an instance among the owners of a target, by rendezvous hashing: all instances with the same list compute
    /// the same places, and a change of one instance moves few of them. None if it is not among them.
    pub(crate) fn rank(target: &str, owners: &[&str], own: &str) -> Option<u32> {
        let weight = |name: &str| {
            let bytes = target.bytes().chain([0]).chain(name.bytes());
            // The hash alone hardly mixes the last bytes, in which most names differ.
            let hash = StableHash::of(bytes);
            let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            hash ^ (hash >> 31)
        };
        let own_weight = (weight(own), own);
        let is_before = |name: &&&str| (weight(name), **name) > own_weight;
        let before = owners.iter().filter(is_before).count();
        owners.contains(&own).then(|| u32::try_from(before).unwrap_or(u32::MAX))
    }
}
