//! The judge: late badness is found soon, and what slows both versions is no badness.

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
fn badness_after_a_long_quiet_time_is_found_within_some_answers() {
    let mut judge = judge();
    for _ in 0..500 {
        judge.add_old(&route(), &batch(24, 0, 2));
        judge.add_new(&route(), &batch(1, 0, 0));
    }
    let mut answers = 0;
    while !matches!(judge.verdict(), JudgeVerdict::Bad(_)) {
        answers += 1;
        judge.add_new(&route(), &batch(1, 1, 0));
        assert!(answers < 20, "found within 20 failed answers");
    }
}

/// Found over processes: a stall of the whole machine had a good version called bad, since its
/// slow answers were held against the old version's rate over all time.
#[test]
fn a_stall_of_both_versions_is_no_badness() {
    let mut judge = judge();
    for round in 0..2_000 {
        let stalls = round % 100 < 10;
        judge.add_old(&route(), &batch(24, 0, if stalls { 24 } else { 2 }));
        judge.add_new(&route(), &batch(1, 0, u64::from(stalls)));
    }
    assert!(!matches!(judge.verdict(), JudgeVerdict::Bad(_)));
}

#[test]
fn slowness_of_the_new_version_alone_is_found() {
    let mut judge = judge();
    for _ in 0..200 {
        judge.add_old(&route(), &batch(24, 0, 2));
        judge.add_new(&route(), &batch(1, 0, 1));
    }
    assert!(matches!(judge.verdict(), JudgeVerdict::Bad(_)));
}
