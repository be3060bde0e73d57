//! An instance that lags in a table pulls a copy from a peer that is ahead.

use std::time::Duration;

use kwg_gate::TableLag;
use kwg_model::MonoTime;

const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a change must be in force.
const CHANGE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time until the first pull, if digests with these revisions arrive in every interval.
fn first_pull(known: u64, reports: &[u64]) -> Option<Duration> {
    let (mut lag, start) = (TableLag::default(), MonoTime::from_millis(1));
    for round in 0..50 {
        let now = start + DIGEST_INTERVAL * round;
        if reports.iter().any(|reported| lag.should_pull(known, *reported, now)) {
            return Some(now.since(start));
        }
    }
    None
}

#[test]
fn reports_of_peers_that_lag_as_well_do_not_delay_a_pull() {
    for reports in [&[159, 89][..], &[89, 159], &[89, 159, 89, 12], &[89, 89, 89, 160]] {
        let pulled = first_pull(89, reports).expect("a peer is ahead");
        assert!(pulled < CHANGE_LIMIT / 2, "{reports:?}: {pulled:?}");
    }
}

#[test]
fn nothing_is_pulled_while_no_peer_is_ahead() {
    assert_eq!(first_pull(89, &[89, 12, 0]), None);
}

#[test]
fn an_instance_that_caught_up_waits_again_before_it_pulls() {
    let (mut lag, start) = (TableLag::default(), MonoTime::from_millis(1));
    let at = |millis| start + Duration::from_millis(millis);
    assert!(!lag.should_pull(3, 5, at(0)));
    assert!(!lag.should_pull(5, 5, at(400)));
    assert!(!lag.should_pull(5, 6, at(600)), "a new change may be in transit");
    assert!(lag.should_pull(5, 6, at(1_200)));
    assert!(!lag.should_pull(5, 6, at(1_400)), "the last pull was 200 ms ago");
    assert!(lag.should_pull(5, 6, at(1_900)));
}
