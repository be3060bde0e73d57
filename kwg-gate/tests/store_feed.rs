//! What counts as an outage of the store, in which entries of targets may lapse.

use std::time::Duration;

use kwg_gate::{CallFailure, Calling, FeedCall, StoreFeed, StoreWitness, Waiting};
use kwg_model::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Peers that report nothing.
fn quiet() -> StoreWitness {
    StoreWitness::default()
}

/// A feed that has read the table and waits for changes since 1 s.
fn following() -> StoreFeed<Calling> {
    let (feed, _) = StoreFeed::new().begin(at(990), 0.5).answered(&quiet(), at(1_000));
    feed.begin(at(1_000), 0.5)
}

/// Fails calls from `calling` until `end`, each 20 ms after it was sent.
fn refused_until(calling: StoreFeed<Calling>, end: MonoTime) -> StoreFeed<Waiting> {
    let mut calling = calling;
    loop {
        let now = calling.sent() + Duration::from_millis(20);
        let pausing = calling.failed(CallFailure::Broken, &quiet(), now, 0.5);
        let next = pausing.until();
        let feed = pausing.resume();
        if next >= end {
            return feed;
        }
        calling = feed.begin(next, 0.5);
    }
}

#[test]
fn a_connection_that_breaks_once_is_no_outage() {
    let pausing = following().failed(CallFailure::Broken, &quiet(), at(6_000), 0.5);
    let (_, ends_outage) = pausing.resume().begin(at(6_150), 0.5).answered(&quiet(), at(6_160));
    assert!(!ends_outage);
}

#[test]
fn refusals_for_seconds_are_an_outage() {
    let feed = refused_until(following(), at(5_000));
    let (feed, ends_outage) = feed.begin(at(5_000), 0.5).answered(&quiet(), at(5_010));
    assert!(ends_outage);
    let (_, ends_outage) = feed.begin(at(5_010), 0.5).answered(&quiet(), at(9_000));
    assert!(!ends_outage, "it has ended before");
}

#[test]
fn a_long_poll_without_a_reply_may_hide_an_outage() {
    let calling = following();
    assert!(matches!(calling.call(), FeedCall::Follow { .. }));
    let pausing = calling.failed(CallFailure::Unanswered, &quiet(), at(10_500), 0.5);
    let (_, ends_outage) = pausing.resume().begin(at(10_650), 0.5).answered(&quiet(), at(10_660));
    assert!(ends_outage);
}

#[test]
fn a_cut_of_this_instance_alone_is_no_outage() {
    let mut witness = quiet();
    witness.record("a", true, 5, at(500));
    let feed = refused_until(following(), at(5_000));
    witness.record("a", true, 6, at(4_000));
    let (_, ends_outage) = feed.begin(at(5_000), 0.5).answered(&witness, at(5_010));
    assert!(!ends_outage, "the store has served a peer meanwhile");
}

#[test]
fn an_outage_that_most_peers_noticed_too_is_one() {
    let mut witness = quiet();
    let feed = refused_until(following(), at(5_000));
    witness.record("a", false, 5, at(4_000));
    witness.record("b", false, 5, at(4_000));
    witness.record("a", true, 6, at(4_900));
    let (_, ends_outage) = feed.begin(at(5_000), 0.5).answered(&witness, at(5_010));
    assert!(ends_outage, "the change may be an entry that lapsed");
}

#[test]
fn the_call_after_a_failed_one_is_answered_at_once() {
    let pausing = following().failed(CallFailure::Broken, &quiet(), at(6_000), 0.5);
    let calling = pausing.resume().begin(at(6_150), 0.5);
    assert_eq!(calling.call(), FeedCall::Follow { wait: Duration::ZERO });
    let (feed, _) = calling.answered(&quiet(), at(6_160));
    assert_ne!(feed.begin(at(6_160), 0.5).call(), FeedCall::Follow { wait: Duration::ZERO });
}

#[test]
fn a_poll_that_the_instance_breaks_off_itself_begins_no_outage() {
    let feed = following().broken_off(&quiet());
    let calling = feed.begin(at(4_000), 0.5);
    assert_ne!(calling.call(), FeedCall::Follow { wait: Duration::ZERO }, "as after a failure");
    let (_, ends_outage) = calling.answered(&quiet(), at(6_500));
    assert!(!ends_outage);
}

#[test]
fn a_poll_that_is_broken_off_after_most_peers_reported_a_failure_hides_no_outage() {
    let mut witness = quiet();
    witness.record("a", false, 5, at(1_500));
    witness.record("b", false, 5, at(1_500));
    let feed = following().broken_off(&witness);
    let (_, ends_outage) = feed.begin(at(4_000), 0.5).answered(&witness, at(4_010));
    assert!(ends_outage);
}

#[test]
fn a_table_is_checked_after_its_reading_until_that_is_proved() {
    let (feed, _) = StoreFeed::new().begin(at(990), 0.5).answered(&quiet(), at(1_000));
    let mut feed = feed.plan_checks(20, at(1_000));
    for due in [1_700, 3_500, 5_300, 7_100, 8_900] {
        let calling = feed.begin(at(due - 10), 0.5);
        assert_eq!(calling.call(), FeedCall::Follow { wait: Duration::from_millis(10) });
        let (followed, _) = calling.answered(&quiet(), at(due));
        let calling = followed.begin(at(due), 0.5);
        assert_eq!(calling.call(), FeedCall::Check { floor: 20 });
        let (checked, _) = calling.answered(&quiet(), at(due));
        feed = checked.record_check(19, at(due));
    }
    let feed = feed.record_check(20, at(8_900));
    assert!(matches!(feed.begin(at(60_000), 0.5).call(), FeedCall::Follow { .. }));
}
