//! Quotas hold over all instances, although each one knows the others' usage only from reports.

use std::time::Duration;

use kwg_gate::{AccountLabel, FleetView, QuotaOptions, QuotaRule, QuotaTracker};
use kwg_model::MonoTime;

const RULE: QuotaRule =
    QuotaRule { rate_per_s: 100_000.0, burst: 100_000.0, counts_tokens: true, default_tokens: 200 };
const TOLERANCE: QuotaOptions = QuotaOptions { overshoot: 0.1, slack: 140_000.0 };
const REQUEST_UNITS: u64 = 3_000;
const WINDOW_S: u64 = 8;
const ALL_REACHABLE: FleetView = FleetView { size: 9, reachable: 9 };
const SINGLE: FleetView = FleetView { size: 1, reachable: 1 };
const ONE_REACHABLE: FleetView = FleetView { size: 9, reachable: 1 };

/// Simulates `instances` instances that each get `demand` times their share of the quota and
/// exchange reports every 200 ms while `is_connected(instance, step)`; a step is 10 ms. Returns the
/// units admitted in each second.
fn simulate(
    instances: usize,
    demand: f64,
    seconds: u64,
    is_connected: impl Fn(usize, u64) -> bool,
) -> Vec<f64> {
    let label = AccountLabel::new("hule");
    let mut trackers: Vec<QuotaTracker> =
        (0..instances).map(|_| QuotaTracker::new(TOLERANCE)).collect();
    let mut admitted = vec![0.0; usize::try_from(seconds).expect("small")];
    let step_ms = 10;
    let per_step = demand * RULE.rate_per_s * 0.01 / instances as f64 / REQUEST_UNITS as f64;
    let mut due = vec![0.0; instances];
    for step in 0..seconds * 1_000 / step_ms {
        let now = MonoTime::from_millis(step * step_ms);
        for (index, tracker) in trackers.iter_mut().enumerate() {
            due[index] += per_step;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                // A peer counts as unreachable after 1.5 s of silence.
                let noticed =
                    is_connected(index, step) || is_connected(index, step.saturating_sub(150));
                let fleet = if noticed { ALL_REACHABLE } else { ONE_REACHABLE };
                if tracker.take(&label, &RULE, REQUEST_UNITS, fleet, now).is_ok() {
                    admitted[usize::try_from(step * step_ms / 1_000).expect("small")] +=
                        REQUEST_UNITS as f64;
                }
            }
        }
        if step % 20 == 0 {
            let used: Vec<u64> = trackers
                .iter()
                .map(|tracker| tracker.usage().map(|usage| usage.used).sum())
                .collect();
            for (index, tracker) in trackers.iter_mut().enumerate() {
                for (peer, used) in used.iter().enumerate().filter(|(peer, _)| *peer != index) {
                    if is_connected(index, step) {
                        tracker.apply_usage(&format!("r{peer}"), 1, &label, *used, now);
                    }
                }
            }
        }
    }
    admitted
}

fn worst_window(admitted: &[f64]) -> f64 {
    let window = usize::try_from(WINDOW_S).expect("small");
    admitted.windows(window).map(|seconds| seconds.iter().sum()).fold(0.0, f64::max)
}

fn allowed() -> f64 {
    (RULE.rate_per_s * WINDOW_S as f64 + RULE.burst) * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack
}

#[test]
fn a_hot_account_gets_its_quota_and_no_more() {
    for demand in [1.5, 4.0, 8.0] {
        let admitted = simulate(9, demand, 24, |_, _| true);
        let worst = worst_window(&admitted);
        assert!(worst <= allowed(), "demand {demand}: {worst} of {}", allowed());
        let total: f64 = admitted.iter().sum();
        assert!(total >= 0.95 * RULE.rate_per_s * 24.0, "demand {demand}: {total}");
    }
}

#[test]
fn instances_that_lose_contact_stay_within_the_quota() {
    let admitted = simulate(9, 4.0, 24, |_, step| !(400..1_200).contains(&step));
    let worst = worst_window(&admitted);
    assert!(worst <= allowed(), "{worst} of {}", allowed());
}

#[test]
fn a_new_instance_does_not_charge_usage_before_its_start() {
    let label = AccountLabel::new("hule");
    let mut tracker = QuotaTracker::new(TOLERANCE);
    let now = MonoTime::from_millis(1_000);
    tracker.apply_usage("r1", 1, &label, 50_000_000, now);
    assert_eq!(tracker.take(&label, &RULE, REQUEST_UNITS, ALL_REACHABLE, now), Ok(()));
    tracker.apply_usage("r1", 2, &label, 500, now + Duration::from_millis(200));
    assert_eq!(
        tracker.take(&label, &RULE, REQUEST_UNITS, ALL_REACHABLE, now + Duration::from_millis(200)),
        Ok(())
    );
}

#[test]
fn a_request_that_did_not_run_is_refunded() {
    let label = AccountLabel::new("hule");
    let mut tracker = QuotaTracker::new(QuotaOptions::default());
    let now = MonoTime::from_millis(1_000);
    assert_eq!(tracker.take(&label, &RULE, 200_000, SINGLE, now), Ok(()));
    assert!(tracker.take(&label, &RULE, 1, SINGLE, now).is_err(), "the quota is used up");
    tracker.refund(&label, 200_000);
    assert_eq!(tracker.take(&label, &RULE, 1, SINGLE, now), Ok(()));
}

#[test]
fn instances_that_all_restart_do_not_each_start_with_a_full_bucket() {
    let label = AccountLabel::new("hule");
    let now = MonoTime::from_millis(1_000);
    let mut admitted = 0;
    for _ in 0..9 {
        let mut tracker = QuotaTracker::new(TOLERANCE);
        while tracker.take(&label, &RULE, REQUEST_UNITS, ONE_REACHABLE, now).is_ok() {
            admitted += REQUEST_UNITS;
        }
    }
    assert!(admitted as f64 <= RULE.burst + TOLERANCE.slack, "{admitted}");
}
