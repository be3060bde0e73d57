//! Canary judge: faults that appear late are detected quickly, and a fault that affects both
//! versions is not evidence against the new one.

use kwg_decide::{JudgeOptions, JudgeVerdict, SampleBatch, VersionJudge};
use kwg_model::RouteName;

fn route() -> RouteName {
    RouteName::new("labels").expect("valid")
}

fn batch(count: u64, failures: u64, slow: u64) -> SampleBatch {
    SampleBatch { count, failures, slow, timed: count - failures }
}

fn judge() -> VersionJudge {
    let mut judge = VersionJudge::new(JudgeOptions::default(), 1);
    judge.add_old(&route(), &batch(1_000, 5, 100));
    judge
}

#[test]
fn failures_after_a_long_time_without_any_are_detected_quickly() {
    let mut judge = judge();
    for _ in 0..500 {
        judge.add_old(&route(), &batch(24, 0, 2));
        judge.add_new(&route(), &batch(1, 0, 0));
    }
    let mut answers = 0;
    while !matches!(judge.verdict(), JudgeVerdict::Bad(_)) {
        answers += 1;
        judge.add_new(&route(), &batch(1, 1, 0));
        assert!(answers < 20, "not detected within 20 failed answers");
    }
}

/// Regression test: a stall of the whole machine made a good version look bad. During a stall the
/// new version's slow answers must be compared with the old version's rate in the same period, not
/// over all time.
#[test]
fn a_stall_of_both_versions_is_not_evidence_against_the_new_one() {
    let mut judge = judge();
    for round in 0..2_000 {
        let is_stalled = round % 100 < 10;
        judge.add_old(&route(), &batch(24, 0, if is_stalled { 24 } else { 2 }));
        judge.add_new(&route(), &batch(1, 0, u64::from(is_stalled)));
    }
    assert!(!matches!(judge.verdict(), JudgeVerdict::Bad(_)));
}

#[test]
fn slowness_of_only_the_new_version_is_detected() {
    let mut judge = judge();
    for _ in 0..200 {
        judge.add_old(&route(), &batch(24, 0, 2));
        judge.add_new(&route(), &batch(1, 0, 1));
    }
    assert!(matches!(judge.verdict(), JudgeVerdict::Bad(_)));
}
