//! Records of ends of targets: sets that merge by union, what an answer voids, and what stays bounded.

use std::time::Duration;

use kwg_gate::{
    EndFeed, EndRecord, ReleaseCause, SeenEnd, SuspectEvent, SuspectKey, SuspectTracker, TargetRun,
};
use kwg_model::MonoTime;
use quickcheck::quickcheck;

/// Content of the requests.
const CONTENT: u64 = 7;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + ms)
}

fn end(target: u8, ms: u64) -> SeenEnd {
    let run = TargetRun::of(&format!("i-{target}"), 1);
    SeenEnd { run, ordinal: 0, sent_after: at(ms), has_begun: false }
}

fn exchange(from: &SuspectTracker, to: &mut SuspectTracker, now: MonoTime) {
    let records: Vec<EndRecord> = from.records(now).collect();
    records.iter().for_each(|record| to.apply_record("peer", record, now));
}

fn three_ends() -> SuspectTracker {
    let mut tracker = SuspectTracker::default();
    (0..3).for_each(|target| tracker.record_end(CONTENT, end(target, 0), at(target.into())));
    tracker
}

#[test]
fn ends_at_three_instances_are_three_ends_at_each_of_them() {
    let mut trackers = vec![SuspectTracker::default(); 3];
    for (target, tracker) in trackers.iter_mut().enumerate() {
        tracker.record_end(CONTENT, end(target as u8, 0), at(0));
        assert!(!tracker.is_refused(CONTENT, at(0)), "a single end may be the target's fault");
    }
    // The second one passes on what it has heard of the first.
    let [first, second, third] = &mut trackers[..] else { unreachable!("three") };
    exchange(first, second, at(200));
    exchange(second, third, at(400));
    assert!(third.is_refused(CONTENT, at(400)));
    assert!(!third.is_refused(CONTENT + 1, at(400)));
}

#[test]
fn a_request_that_was_answered_after_each_end_is_not_refused_by_peers() {
    let (mut own, mut peer) = (SuspectTracker::default(), SuspectTracker::default());
    // Requests of equal content, as those without a body: targets end under three of them in the course of time.
    for round in 0..3_u8 {
        let now = at(u64::from(round) * 5_000);
        own.record_end(CONTENT, end(round, u64::from(round) * 5_000), now);
        exchange(&own, &mut peer, now);
        own.record_answered(CONTENT, now + Duration::from_millis(100));
        exchange(&own, &mut peer, now + Duration::from_millis(200));
    }
    assert!(!own.is_refused(CONTENT, at(20_000)));
    assert!(!peer.is_refused(CONTENT, at(20_000)), "it does not end its targets");
}

#[test]
fn a_request_that_peers_refuse_is_served_again_once_it_has_been_answered_elsewhere() {
    let (mut own, mut peer) = (three_ends(), SuspectTracker::default());
    exchange(&own, &mut peer, at(200));
    assert!(peer.is_refused(CONTENT, at(200)));
    // A run that had begun before the third end.
    own.record_answered(CONTENT, at(300));
    exchange(&own, &mut peer, at(400));
    assert!(!peer.is_refused(CONTENT, at(400)));
    let released =
        SuspectEvent::Released { suspects: vec![CONTENT.into()], cause: ReleaseCause::Refuted };
    assert_eq!(peer.review(at(400)).last(), Some(&released));
}

#[test]
fn a_request_that_was_answered_is_refused_again_after_three_more_ends() {
    let (mut own, mut peer) = (SuspectTracker::default(), three_ends());
    exchange(&peer, &mut own, at(200));
    own.record_answered(CONTENT, at(300));
    // The same records arrive again and again.
    exchange(&peer, &mut own, at(400));
    assert!(!own.is_refused(CONTENT, at(400)));
    // It was answered before, so that ends at one moment may have another cause.
    for target in 10..13 {
        let ms = u64::from(target) * 2_000;
        peer.record_end(CONTENT, end(target, ms), at(ms));
    }
    exchange(&peer, &mut own, at(25_000));
    assert!(own.is_refused(CONTENT, at(25_000)));
}

#[test]
fn ends_at_one_moment_count_unless_the_content_was_answered_before() {
    let new = three_ends();
    assert!(new.is_refused(CONTENT, at(10)));
    let mut popular = SuspectTracker::default();
    popular.record_answered(CONTENT, at(0));
    let ends = |tracker: &mut SuspectTracker, from: u8, ms: u64| {
        (from..from + 5).for_each(|target| tracker.record_end(CONTENT, end(target, ms), at(ms)));
    };
    ends(&mut popular, 0, 100);
    assert!(!popular.is_refused(CONTENT, at(200)), "a failure domain may have lost power");
    ends(&mut popular, 10, 6_000);
    assert!(popular.is_refused(CONTENT, at(6_000)), "nobody has answered it since");
}

#[test]
fn an_instance_without_answers_learns_that_content_is_popular() {
    let (mut own, mut peer) = (SuspectTracker::default(), SuspectTracker::default());
    peer.record_answered(CONTENT, at(0));
    (0..3).for_each(|target| peer.record_end(CONTENT, end(target, 100), at(100)));
    exchange(&peer, &mut own, at(200));
    assert!(!own.is_refused(CONTENT, at(200)));
}

#[test]
fn ends_of_targets_that_answer_others_right_afterwards_do_not_count() {
    let mut tracker = three_ends();
    let run = |target: u8| end(target, 0).run;
    tracker.record_alive(run(0), at(3_000), at(3_100));
    assert!(tracker.is_refused(CONTENT, at(3_100)), "by then it may be another run");
    tracker.record_alive(run(1), at(0), at(3_100));
    assert!(tracker.is_refused(CONTENT, at(3_100)), "that one was sent before the end");
    tracker.record_alive(run(2), at(500), at(3_100));
    assert!(!tracker.is_refused(CONTENT, at(3_100)));
}

#[test]
fn a_target_that_is_back_before_its_entry_shows_it_counts_again() {
    let mut tracker = SuspectTracker::default();
    let run = end(0, 0).run;
    for round in 0..3 {
        let ordinal = tracker.known_ends(run);
        assert_eq!(ordinal, round);
        // Two equal requests are under way.
        for _ in 0..2 {
            let ms = u64::from(round) * 4_000;
            tracker.record_end(
                CONTENT,
                SeenEnd { run, ordinal, sent_after: at(ms), has_begun: false },
                at(ms),
            );
        }
    }
    assert_eq!(tracker.count(CONTENT), 3);
    assert!(tracker.is_refused(CONTENT, at(9_000)));
}

#[test]
fn what_is_remembered_is_bounded_and_refused_content_stays() {
    let mut tracker = three_ends();
    for content in 1_000..9_000 {
        tracker.record_end(content, end(9, 10), at(10 + content));
    }
    assert!(tracker.is_refused(CONTENT, at(10_000)));
    for target in 0..200 {
        tracker.record_end(1, end(target, 10_000), at(10_000 + u64::from(target)));
    }
    let count = tracker.records(at(10_000)).count();
    assert!(count <= 256 * 16, "{count} records");
}

#[test]
fn records_keep_their_age_over_a_restart() {
    let tracker = three_ends();
    let mut restarted = SuspectTracker::default();
    // The clock of a process starts at zero.
    let young = MonoTime::from_millis(50);
    for record in tracker.records(at(500_000)) {
        restarted.apply_record("peer", &record, young);
    }
    assert!(restarted.is_refused(CONTENT, young));
    assert!(!restarted.is_refused(CONTENT, young + Duration::from_secs(101)), "600 s in all");
}

#[test]
fn ends_that_do_not_count_before_they_are_shared_are_not_sent() {
    let mut tracker = three_ends();
    tracker.record_alive(end(1, 0).run, at(500), at(600));
    tracker.review(at(700));
    assert_eq!(tracker.records(at(700)).count(), 2);
    // The others are known to peers by now, which must hear that they do not count.
    tracker.record_answered(CONTENT, at(800));
    tracker.review(at(900));
    assert_eq!(tracker.records(at(900)).filter(|record| record.is_void).count(), 2);
}

#[test]
fn a_storm_of_ends_fills_no_message_and_what_is_nearly_refused_goes_first() {
    let mut tracker = SuspectTracker::default();
    for content in 100..300 {
        tracker.record_end(content, end(0, 0), at(content));
    }
    (0..2).for_each(|target| tracker.record_end(CONTENT, end(target, 0), at(0)));
    let records: Vec<EndRecord> = tracker.records(at(1_000)).collect();
    let mut feed = EndFeed::default();
    let first = feed.take(&records, 0);
    assert!(first.len() <= 64, "{} records", first.len());
    let of_content = first.iter().filter(|record| record.key.suspect == CONTENT.into());
    assert_eq!(of_content.count(), 2);
    let mut sent = first.len();
    while feed.has_news(&records) {
        sent += feed.take(&records, 0).len();
    }
    assert_eq!(sent, records.len());
    assert_eq!(feed.take_all(&records).len(), records.len());
}

#[test]
fn a_message_has_what_changed_and_repeats_the_rest_in_turn() {
    let mut tracker = SuspectTracker::default();
    for content in 0..40 {
        tracker.record_end(content, end(0, 0), at(0));
    }
    let mut feed = EndFeed::default();
    let records: Vec<EndRecord> = tracker.records(at(10)).collect();
    assert_eq!(feed.take(&records, 8).len(), 40);
    assert!(!feed.has_news(&records));
    let mut repeated: Vec<SuspectKey> = Vec::new();
    for _ in 0..5 {
        repeated.extend(feed.take(&records, 8).iter().map(|record| record.key.suspect));
    }
    repeated.sort_unstable();
    assert_eq!(repeated, (0..40).map(SuspectKey::Content).collect::<Vec<SuspectKey>>());
    tracker.record_answered(3, at(20));
    let records: Vec<EndRecord> = tracker.records(at(20)).collect();
    assert!(feed.has_news(&records));
    let taken = feed.take(&records, 0);
    assert_eq!(
        taken.iter().map(|record| record.key.suspect).collect::<Vec<_>>(),
        [SuspectKey::Content(3)]
    );
}

/// Contents, counts and refusals of a tracker.
fn state(tracker: &SuspectTracker, now: MonoTime) -> Vec<(usize, bool)> {
    (0..4).map(|content| (tracker.count(content), tracker.is_refused(content, now))).collect()
}

quickcheck! {
    /// Late, repeated and reordered messages, and those of several peers, change nothing.
    fn all_orders_of_the_same_records_give_the_same_state(
        seen: Vec<(u8, u8, bool)>,
        order: Vec<u8>
    ) -> bool {
        let now = at(1_000);
        let mut sources = vec![SuspectTracker::default(); 3];
        for (index, (content, target, is_answered)) in seen.iter().take(30).enumerate() {
            let source = &mut sources[index % 3];
            source.record_end(u64::from(content % 4), end(target % 6, 0), at(500));
            if *is_answered {
                source.record_answered(u64::from(content % 4), at(600));
            }
        }
        let records: Vec<EndRecord> =
            sources.iter().flat_map(|source| source.records(now).collect::<Vec<_>>()).collect();
        let mut once = SuspectTracker::default();
        records.iter().for_each(|record| once.apply_record("a", record, now));
        let mut shuffled = SuspectTracker::default();
        for (index, place) in order.iter().enumerate() {
            if let Some(record) = records.get(usize::from(*place) % records.len().max(1)) {
                let delay = Duration::from_millis(index as u64 % 50);
                shuffled.apply_record("b", record, now + delay);
            }
        }
        records.iter().rev().for_each(|record| shuffled.apply_record("c", record, now));
        // A third one hears both.
        let mut both = SuspectTracker::default();
        exchange(&shuffled, &mut both, now);
        exchange(&once, &mut both, now);
        state(&once, now) == state(&shuffled, now) && state(&once, now) == state(&both, now)
    }
}

#[test]
fn a_record_that_arrives_after_the_run_has_answered_others_does_not_count() {
    let (mut own, peer) = (SuspectTracker::default(), three_ends());
    // The run has answered a request that was sent after its alleged end, before the record arrives.
    own.record_alive(end(2, 0).run, at(300), at(350));
    exchange(&peer, &mut own, at(400));
    assert_eq!(own.count(CONTENT), 2);
}

#[test]
fn a_record_that_arrives_after_the_content_was_answered_does_not_count() {
    let (mut own, peer) = (SuspectTracker::default(), three_ends());
    own.record_answered(CONTENT, at(300));
    exchange(&peer, &mut own, at(400));
    assert_eq!(own.count(CONTENT), 0);
}

#[test]
fn an_end_does_not_count_if_another_target_has_answered_the_content_meanwhile() {
    let mut tracker = SuspectTracker::default();
    tracker.record_answered(CONTENT, at(500));
    tracker.record_end(CONTENT, end(0, 400), at(600));
    assert_eq!(tracker.count(CONTENT), 0);
    tracker.record_end(CONTENT, end(1, 550), at(600));
    assert_eq!(tracker.count(CONTENT), 1, "that one was sent later");
}
