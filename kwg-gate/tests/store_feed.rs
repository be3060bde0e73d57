//! What counts as an outage of the store, in which entries of targets may lapse.

use std::time::Duration;

use kwg_gate::{CallFailure, Calling, FeedCall, StoreFeed, Waiting};
use kwg_model::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A feed that has read the table and waits for changes since 1 s.
fn following() -> StoreFeed<Calling> {
    let (feed, _) = StoreFeed::new().begin(at(990)).answered(at(1_000));
    feed.begin(at(1_000))
}

/// Fails calls from `calling` until `end`, each 20 ms after it was sent.
fn refused_until(calling: StoreFeed<Calling>, end: MonoTime) -> StoreFeed<Waiting> {
    let mut calling = calling;
    loop {
        let now = calling.sent() + Duration::from_millis(20);
        let pausing = calling.failed(CallFailure::Broken, now, 0.5);
        let next = pausing.until();
        let feed = pausing.resume();
        if next >= end {
            return feed;
        }
        calling = feed.begin(next);
    }
}

#[test]
fn a_connection_that_breaks_once_is_no_outage() {
    let pausing = following().failed(CallFailure::Broken, at(6_000), 0.5);
    let (_, ends_outage) = pausing.resume().begin(at(6_150)).answered(at(6_160));
    assert!(!ends_outage);
}

#[test]
fn refusals_for_seconds_are_an_outage() {
    let feed = refused_until(following(), at(5_000));
    let (feed, ends_outage) = feed.begin(at(5_000)).answered(at(5_010));
    assert!(ends_outage);
    let (_, ends_outage) = feed.begin(at(5_010)).answered(at(9_000));
    assert!(!ends_outage, "it has ended before");
}

#[test]
fn a_long_poll_without_a_reply_may_hide_an_outage() {
    let calling = following();
    assert!(matches!(calling.call(), FeedCall::Follow { .. }));
    let pausing = calling.failed(CallFailure::Unanswered, at(10_500), 0.5);
    let (_, ends_outage) = pausing.resume().begin(at(10_650)).answered(at(10_660));
    assert!(ends_outage);
}
