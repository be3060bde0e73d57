//! Which of the parts and contents of cut requests are refused: what explains the ends of targets, and nothing else.

use std::time::Duration;

use kwg_gate::{EndRecord, PromptPart, SeenEnd, SuspectKey, SuspectTracker, TargetRun};
use kwg_model::MonoTime;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn part(name: &str) -> SuspectKey {
    PromptPart::of("m", name).into()
}

/// A request that is cut by the end of a target, 50 ms after it was sent there.
fn cut(tracker: &mut SuspectTracker, target: &str, suspects: &[SuspectKey], ms: u64) {
    cut_after(tracker, target, suspects, ms, 50);
}

fn cut_after(
    tracker: &mut SuspectTracker,
    target: &str,
    suspects: &[SuspectKey],
    ms: u64,
    held_ms: u64,
) {
    let run = TargetRun::of(target, 1);
    let end = SeenEnd { run, ordinal: 0, sent_after: at(ms - held_ms), has_begun: false };
    tracker.record_end_under(suspects, end, at(ms));
}

fn begun(tracker: &mut SuspectTracker, name: &str, ms: u64) {
    tracker.record_begun([PromptPart::of("m", name)], at(ms));
}

fn refuses(tracker: &SuspectTracker, suspects: &[SuspectKey], ms: u64) -> bool {
    tracker.verdict_on(|key| suspects.contains(&key), at(ms)).is_some()
}

#[test]
fn three_ends_under_a_part_of_different_contents_convict_it() {
    let mut tracker = SuspectTracker::default();
    for (number, target) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        assert!(!tracker.is_refused(part("p"), at(1_000)), "{number} ends");
        let number = number as u64;
        cut(&mut tracker, target, &[number.into(), part("p")], 100 + number * 100);
    }
    assert!(tracker.is_refused(part("p"), at(400)));
    assert!(!refuses(&tracker, &[9.into(), part("q")], 400));
    assert!(refuses(&tracker, &[9.into(), part("q"), part("p")], 400));
}

#[test]
fn ends_of_requests_that_were_under_way_together_are_one() {
    let mut tracker = SuspectTracker::default();
    for target in 0..8 {
        cut_after(&mut tracker, &format!("i-{target}"), &[part("p")], 500 + target, 300);
    }
    assert!(!tracker.is_refused(part("p"), at(600)), "all connections may have been reset");
}

#[test]
fn suspects_with_the_same_ends_are_refused_together_until_one_comes_alone() {
    let mut tracker = SuspectTracker::default();
    for target in 0..3 {
        cut(&mut tracker, &format!("i-{target}"), &[part("p"), part("q")], 100 + target * 100);
    }
    assert!(refuses(&tracker, &[part("p"), part("q")], 400));
    assert!(!refuses(&tracker, &[part("p")], 400));
    assert!(!refuses(&tracker, &[part("q")], 400));
    let mut answered = tracker.clone();
    begun(&mut answered, "q", 450);
    assert!(answered.is_refused(part("p"), at(460)), "the other one does it");
    assert!(!refuses(&answered, &[part("q")], 460));
    cut(&mut tracker, "i-9", &[part("p")], 500);
    assert!(tracker.is_refused(part("p"), at(510)), "it explains one more");
    assert!(!refuses(&tracker, &[part("q")], 510));
}

#[test]
fn ends_that_a_part_explains_count_against_no_content() {
    let mut tracker = SuspectTracker::default();
    // One caller repeats its request, another one sends the part as well.
    for target in 0..3 {
        cut(&mut tracker, &format!("i-{target}"), &[1.into(), part("p")], 100 + target * 100);
    }
    assert!(refuses(&tracker, &[1.into(), part("p")], 400));
    assert!(!refuses(&tracker, &[2.into(), part("p")], 400), "it may be the content");
    cut(&mut tracker, "i-9", &[2.into(), part("p")], 500);
    assert!(refuses(&tracker, &[3.into(), part("p")], 510));
    assert!(!tracker.is_refused(1, at(510)));
}

#[test]
fn an_answer_that_begins_clears_a_part_at_all_instances() {
    let (mut own, mut peer) = (SuspectTracker::default(), SuspectTracker::default());
    for target in 0..3 {
        cut(&mut own, &format!("i-{target}"), &[part("p")], 100 + target * 100);
    }
    let exchange = |from: &SuspectTracker, to: &mut SuspectTracker, ms: u64| {
        let records: Vec<EndRecord> = from.records(at(ms)).collect();
        to.apply_records("peer", &records, at(ms));
    };
    own.review(at(350));
    exchange(&own, &mut peer, 400);
    assert!(peer.is_refused(part("p"), at(400)));
    begun(&mut own, "p", 500);
    exchange(&own, &mut peer, 600);
    assert!(!peer.is_refused(part("p"), at(600)));
    // What arrives late changes nothing.
    exchange(&peer, &mut own, 700);
    assert!(!own.is_refused(part("p"), at(700)));
}

#[test]
fn a_rare_part_is_not_convicted_by_crashes_of_many_targets() {
    let mut tracker = SuspectTracker::default();
    tracker.set_target_count(15);
    for round in 0..5_u64 {
        let ms = 1_000 + round * 3_000;
        for target in 0..7 {
            let own = [part(&format!("q-{round}-{target}"))];
            let suspects = if target == 0 { &[part("rare")][..] } else { &own };
            cut(&mut tracker, &format!("i-{round}-{target}"), suspects, ms + target);
        }
        assert!(!tracker.is_refused(part("rare"), at(ms + 100)), "round {round}");
    }
}

#[test]
fn a_part_is_convicted_although_crashes_of_many_targets_come_between_its_ends() {
    let mut tracker = SuspectTracker::default();
    tracker.set_target_count(15);
    for round in 0..3_u64 {
        let ms = 1_000 + round * 3_000;
        for target in 0..7 {
            cut(&mut tracker, &format!("i-{round}-{target}"), &[(round * 10 + target).into()], ms);
        }
        cut(&mut tracker, &format!("p-{round}"), &[part("p")], ms + 1_500);
    }
    assert!(tracker.is_refused(part("p"), at(9_000)));
}

#[test]
fn two_parts_whose_targets_end_at_the_same_time_are_both_convicted() {
    let mut tracker = SuspectTracker::default();
    tracker.set_target_count(15);
    for round in 0..5_u64 {
        for name in ["p", "q"] {
            for target in 0..3 {
                let target = format!("{name}-{round}-{target}");
                cut(&mut tracker, &target, &[part(name)], 1_000 + round * 200);
            }
        }
    }
    // By then it is known which others ended with the last ones.
    tracker.review(at(2_300));
    assert!(tracker.is_refused(part("p"), at(2_300)));
    assert!(tracker.is_refused(part("q"), at(2_300)));
    assert!(tracker.is_refused(part("p"), at(60_000)), "also when the other ends are forgotten");
    let mut restarted = SuspectTracker::default();
    let records: Vec<EndRecord> = tracker.records(at(60_000)).collect();
    restarted.apply_records("peer", &records, at(60_000));
    assert!(restarted.is_refused(part("p"), at(60_000)), "an instance that starts");
}

#[test]
fn requests_that_are_cut_in_the_middle_of_their_answers_displace_no_suspect() {
    let mut tracker = SuspectTracker::default();
    cut(&mut tracker, "i-0", &[part("p")], 100);
    let run = TargetRun::of("i-1", 1);
    for content in 0..2_000_u64 {
        let end = SeenEnd { run, ordinal: 0, sent_after: at(100), has_begun: true };
        tracker.record_end(content, end, at(200));
    }
    assert_eq!(tracker.count(part("p")), 1);
    for target in 2..4 {
        cut(&mut tracker, &format!("i-{target}"), &[part("p")], 300 + target * 100);
    }
    assert!(tracker.is_refused(part("p"), at(700)));
}

#[test]
fn records_under_an_end_that_is_explained_are_dropped_if_the_answer_had_begun() {
    let mut tracker = SuspectTracker::default();
    for target in 0..3 {
        let name = format!("i-{target}");
        cut(&mut tracker, &name, &[part("p")], 100 + target * 100);
        for content in 0..10 {
            let run = TargetRun::of(&name, 1);
            let end = SeenEnd { run, ordinal: 0, sent_after: at(50), has_begun: true };
            tracker.record_end(target * 100 + content, end, at(100 + target * 100));
        }
    }
    assert_eq!(tracker.records(at(400)).count(), 3, "of the part alone");
}

#[test]
fn a_part_that_was_answered_before_is_convicted_by_ends_that_are_spread_in_time() {
    let mut tracker = SuspectTracker::default();
    begun(&mut tracker, "p", 0);
    for target in 0..3 {
        cut(&mut tracker, &format!("i-{target}"), &[part("p")], 100 + target * 100);
    }
    assert!(!tracker.is_refused(part("p"), at(400)), "an answer may be on its way");
    cut(&mut tracker, "i-9", &[part("p")], 1_000);
    assert!(tracker.is_refused(part("p"), at(1_000)));
    assert!(!tracker.is_refused(part("p"), at(1_000) + Duration::from_secs(600)));
}

/// A tracker with a part that was answered long before three ends convicted it, and the time of the last one.
fn doubtful() -> (SuspectTracker, u64) {
    let mut tracker = SuspectTracker::default();
    begun(&mut tracker, "p", 0);
    for round in 0..3 {
        cut(&mut tracker, &format!("i-{round}"), &[part("p")], 1_000 + round * 1_000);
    }
    (tracker, 3_000)
}

fn allows_trial(tracker: &SuspectTracker, draw: f64, ms: u64) -> bool {
    let verdict = tracker.verdict_on(|key| key == part("p"), at(ms)).expect("refused");
    tracker.allows_trial(verdict, draw, at(ms))
}

#[test]
fn a_request_is_sent_to_find_out_whether_a_doubtful_verdict_is_right() {
    let (mut tracker, last) = doubtful();
    assert!(!allows_trial(&tracker, 0.0, last + 700));
    assert!(allows_trial(&tracker, 0.0, last + 800));
    assert!(allows_trial(&tracker, 0.5, last + 800), "the part is rare");
    begun(&mut tracker, "p", last + 1_050);
    assert!(!tracker.is_refused(part("p"), at(last + 1_050)));
}

#[test]
fn each_trial_that_ends_a_target_makes_the_next_one_wait_longer() {
    let (mut tracker, mut last) = doubtful();
    for wait in [800, 8_000, 80_000] {
        assert!(!allows_trial(&tracker, 0.0, last + wait - 100), "{wait}");
        assert!(allows_trial(&tracker, 0.0, last + wait), "{wait}");
        assert_eq!(allows_trial(&tracker, 0.7, last + wait), wait == 800, "fewer in later ones");
        last += wait + 50;
        cut(&mut tracker, &format!("t-{wait}"), &[part("p")], last);
        assert!(!allows_trial(&tracker, 0.0, last + 10), "{wait}");
    }
}

#[test]
fn a_verdict_without_doubt_has_no_trial() {
    let mut tracker = SuspectTracker::default();
    for round in 0..3 {
        cut(&mut tracker, &format!("i-{round}"), &[part("p")], 1_000 + round * 1_000);
    }
    assert!(!allows_trial(&tracker, 0.0, 500_000));
}

#[test]
fn of_frequent_requests_few_are_sent_in_a_trial() {
    let mut tracker = SuspectTracker::default();
    begun(&mut tracker, "p", 0);
    for round in 0..9 {
        cut(&mut tracker, &format!("i-{round}"), &[part("p")], 1_000 + round * 100);
    }
    // Three in 0.2 s: more than seven in the time in which all instances know of an end, and one is to be sent.
    assert!(!allows_trial(&tracker, 0.2, 6_000));
    assert!(allows_trial(&tracker, 0.1, 6_000));
}
