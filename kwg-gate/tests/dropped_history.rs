//! Guards against a configuration, or a target that has left, that is used too long because its change is missing
//! from the feed's history and from stale readings.

#[path = "support/replica_fleet.rs"]
mod replica_fleet;
#[path = "support/store_model.rs"]
mod store_model;

use std::time::Duration;

use kwg_model::MonoTime;
use replica_fleet::ReplicaFleet;

/// Time after a disturbance of the store, or a restart, from which the limits hold.
const CONTACT_TIME: Duration = Duration::from_millis(4_000);
/// Time from a change to the last request that is handled as before it.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// By how much more a change may be late while only history is lost and readings are stale.
const MAX_SKEW: Duration = Duration::from_millis(6_000);
/// Time for what follows the knowledge: requests that are already on their way, and slow instances.
const MARGIN: Duration = Duration::from_millis(500);
/// Time in which the feeds tell nothing, before the history is dropped and they are cut.
const GAP_TIME: Duration = Duration::from_millis(1_000);
/// The instances that follow the store.
const SIZE: usize = 3;
/// Key of the row that a new configuration replaces.
const CONFIGURATION: &str = "configuration";

/// A fleet whose store has dropped the history of a new configuration and of a target that has left.
struct DroppedHistory {
    fleet: ReplicaFleet,
    /// When the feeds began to tell nothing.
    began: MonoTime,
    /// Revision of the new configuration.
    revision: u64,
    description: String,
}

impl DroppedHistory {
    /// Loses the history of changes that were written `change` after the feeds fell silent; from then on readings
    /// show what was in the store `lag` before.
    fn new(change: Duration, lag: Duration, reports_shown_revision: bool) -> Self {
        let mut fleet = ReplicaFleet::new(SIZE, &["t1", "t2"], 1);
        fleet.store.reports_shown_revision = reports_shown_revision;
        fleet.store.write(CONFIGURATION, Some(b"ready"));
        fleet.run(Duration::from_secs(8));
        let began = fleet.now;
        fleet.store.is_deaf = true;
        fleet.run(change);
        let revision = fleet.store.write(CONFIGURATION, Some(b"ready"));
        fleet.store.write("t1", None);
        fleet.run(GAP_TIME - change);
        fleet.store.is_deaf = false;
        fleet.store.compact();
        fleet.store.lag_reads(lag);
        fleet.break_connections();
        let description = format!(
            "changes after {change:?}, readings {lag:?} behind, with the revision of their rows: \
             {reports_shown_revision}"
        );
        Self { fleet, began, revision, description }
    }

    /// Runs until that time after the start of the disturbance.
    fn run_until(&mut self, span: Duration) {
        let end = self.began + span;
        self.fleet.run(end.since(self.fleet.now));
    }

    /// Checks that all instances know both changes.
    fn check(&self) {
        let (description, now) = (&self.description, self.fleet.now.since(self.began));
        for (number, node) in self.fleet.nodes.iter().enumerate() {
            let in_force = node.replica.mirror().row_revision(CONFIGURATION);
            assert_eq!(in_force, self.revision, "instance {number} after {now:?}: {description}");
            assert!(!node.uses("t1"), "instance {number} after {now:?}: {description}");
        }
    }
}

/// Runs a check for changes at several times of the gap, and readings with either revision.
fn for_all_changes(check: impl Fn(Duration, bool)) {
    for reports_shown_revision in [false, true] {
        for change in [100, 300, 500, 700, 900] {
            check(Duration::from_millis(change), reports_shown_revision);
        }
    }
}

/// Ends of the staleness, after the start of the disturbance.
fn ends() -> impl Iterator<Item = Duration> {
    (8..=45).map(|fifths| Duration::from_millis(200 * fifths))
}

/// Guards against checks that are so rare that stale readings are put right only seconds after they are sound.
#[test]
fn a_change_without_history_is_in_force_the_contact_time_after_readings_are_sound() {
    for_all_changes(|change, reports_shown_revision| {
        for end in ends() {
            let mut dropped = DroppedHistory::new(change, MAX_SKEW, reports_shown_revision);
            dropped.run_until(end);
            dropped.fleet.store.thaw_reads();
            dropped.run_until(end + CONTACT_TIME - MARGIN);
            dropped.check();
        }
    });
}

/// Guards against checks that are so rare that a change is missed long after stale readings have come to show it.
#[test]
fn a_change_without_history_is_in_force_within_the_skew_while_readings_stay_stale() {
    for_all_changes(|change, reports_shown_revision| {
        for lag in (10..=60).step_by(2).map(|tenths| Duration::from_millis(100 * tenths)) {
            let mut dropped = DroppedHistory::new(change, lag, reports_shown_revision);
            dropped.run_until(change + APPLY_LIMIT + MAX_SKEW - MARGIN);
            dropped.check();
        }
    });
}

/// Guards against the same after a start with stale readings, when no peer knows more.
#[test]
fn a_change_without_history_is_in_force_the_contact_time_after_all_instances_restart() {
    for_all_changes(|change, reports_shown_revision| {
        for end in ends() {
            let mut dropped = DroppedHistory::new(change, MAX_SKEW, reports_shown_revision);
            dropped.run_until(GAP_TIME + Duration::from_millis(300));
            (0..SIZE).for_each(|node| dropped.fleet.restart(node));
            dropped.run_until(end);
            dropped.fleet.store.thaw_reads();
            dropped.run_until(end + CONTACT_TIME - MARGIN);
            dropped.check();
        }
    });
}
