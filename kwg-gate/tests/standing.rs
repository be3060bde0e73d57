//! What a target says of itself: one that leaves gets no more requests, and one that wants none for a while
//! gets none in that time and then a few at a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    AttemptEvidence, AttemptSample, FinalOutcome, GateCore, GateDigest, PlacementOutcome,
    RequestKind, SessionStep, StandingSource, StandingState, TargetCode, TargetEntry, TargetId,
    TargetKey, TargetRegistry, TargetReport, TargetWord,
};
use kwg_model::MonoTime;
use support::{STREAM, TARGET_LATENCY, core, place, registry, send, start};

const LEAVING: TargetWord = TargetWord { is_leaving: true, pause: None };
/// Time after a target's first word within which the last request is sent there.
const WORD_LIMIT: Duration = Duration::from_millis(500);
/// Requests that may reach a target of one instance in a pause.
const REQUESTS_IN_PAUSE: usize = 2;

fn pause(secs: u64) -> TargetWord {
    TargetWord { is_leaving: false, pause: Some(Duration::from_secs(secs)) }
}

/// The target to which the next request goes; none if it waits or is refused.
fn next_target(core: &mut GateCore, number: u64, now: MonoTime) -> Option<TargetKey> {
    match place(core, number, now) {
        PlacementOutcome::Placed(placed) => Some(placed.dispatch().placement().target),
        _ => None,
    }
}

fn two_targets() -> (GateCore, TargetKey, TargetKey) {
    let mut core = core(2, RequestKind::Idempotent);
    // The one that has run less is chosen, so that both are seen.
    let first = send(&mut core, 1, start()).placement().target;
    let second = send(&mut core, 2, start()).placement().target;
    assert_ne!(first, second);
    core.targets_mut().end_attempt(first);
    core.targets_mut().end_attempt(second);
    (core, first, second)
}

#[test]
fn nothing_is_sent_to_a_target_after_its_word_that_it_leaves() {
    let (mut core, leaving, other) = two_targets();
    let state = core.targets_mut().record_word(leaving, LEAVING, start());
    let source = StandingSource::Target;
    assert_eq!(state, Some(StandingState::Leaving { source, since: Some(start()) }));
    // The copy of the registry still says that it is ready.
    core.set_registry(&registry(2));
    for number in 10..60 {
        let now = start() + Duration::from_millis(number * 100);
        assert_ne!(next_target(&mut core, number, now), Some(leaving));
    }
    core.targets_mut().begin_attempt(other, 0);
    core.targets_mut().begin_attempt(other, 0);
    let now = start() + WORD_LIMIT;
    assert_eq!(next_target(&mut core, 99, now), None, "it waits rather than go there");
}

#[test]
fn a_request_is_not_handed_over_to_a_target_that_leaves() {
    let (mut core, leaving, _) = two_targets();
    core.targets_mut().record_word(leaving, LEAVING, start());
    let session = send(&mut core, 5, start());
    assert_ne!(session.placement().target, leaving);
    assert!(session.reserve(&core, 0.5, start() + WORD_LIMIT).is_none());
}

#[test]
fn peers_learn_the_word_and_a_new_run_starts_without_it() {
    let (mut hearer, leaving, _) = two_targets();
    let length =
        |core: &GateCore| postcard::to_allocvec(&core.digest(1, start())).expect("encodes").len();
    hearer.targets_mut().record_success(leaving, &AttemptSample::default(), start());
    let before = length(&hearer);
    hearer.targets_mut().record_word(leaving, LEAVING, start());
    assert!(length(&hearer) <= before + 2, "{} bytes beside {before}", length(&hearer));
    let digest = hearer.digest(1, start());
    let (mut peer, first, second) = two_targets();
    let name = hearer.targets().entry(leaving).expect("known").id.clone();
    let key = if peer.targets().entry(first).expect("known").id == name { first } else { second };
    peer.apply_digest("hearer", &digest, start());
    let source = StandingSource::Peer;
    let state = peer.targets().standing(key, start());
    assert_eq!(state, Some(StandingState::Leaving { source, since: Some(start()) }));
    let entries = |born: u64| -> Arc<TargetRegistry> {
        let mut entries = TargetRegistry::default();
        let of_run = |entry: &TargetEntry| TargetEntry { born, ..entry.clone() };
        let known: Vec<TargetEntry> = registry(2).entries().map(of_run).collect();
        entries.replace(2, known, start());
        Arc::new(entries)
    };
    peer.set_registry(&entries(2));
    peer.apply_digest("hearer", &digest, start());
    // As many as there are slots.
    let targets = (10..14).map(|number| send(&mut peer, number, start()).placement().target);
    let keys: Vec<TargetKey> = targets.collect();
    let is_name = |key: &TargetKey| peer.targets().entry(*key).expect("known").id == name;
    assert!(keys.iter().any(is_name), "the new run takes requests");
}

#[test]
fn a_word_holds_until_the_target_starts_again() {
    let (mut core, leaving, _) = two_targets();
    core.targets_mut().record_word(leaving, LEAVING, start());
    let at = |secs: u64| start() + Duration::from_secs(secs);
    // Neither its own answers nor the store take it back.
    core.targets_mut().record_word(leaving, TargetWord::default(), at(40));
    core.set_registry(&registry(2));
    for secs in [31, 600, 86_400] {
        let state = core.targets().standing(leaving, at(secs));
        assert!(matches!(state, Some(StandingState::Leaving { .. })), "{secs} s: {state:?}");
        assert_ne!(next_target(&mut core, secs, at(secs)), Some(leaving));
    }
}

#[test]
fn a_word_that_the_store_does_not_confirm_is_told_once_as_doubtful() {
    let (mut core, leaving, _) = two_targets();
    core.targets_mut().record_word(leaving, LEAVING, start());
    let at = |secs: u64| start() + Duration::from_secs(secs);
    assert!(core.targets_mut().take_doubtful(at(29)).is_empty());
    let name = core.targets().entry(leaving).expect("known").id.clone();
    assert_eq!(core.targets_mut().take_doubtful(at(30)), [name]);
    assert!(core.targets_mut().take_doubtful(at(31)).is_empty());
    assert_eq!(core.targets().doubtful_count(at(31)), 1);
}

#[test]
fn a_peers_word_holds_although_that_peer_is_gone() {
    let (mut hearer, leaving, _) = two_targets();
    hearer.targets_mut().record_word(leaving, LEAVING, start());
    let name = hearer.targets().entry(leaving).expect("known").id.clone();
    let (mut peer, first, second) = two_targets();
    let key = if peer.targets().entry(first).expect("known").id == name { first } else { second };
    peer.apply_digest("hearer", &hearer.digest(1, start()), start());
    let later = start() + Duration::from_secs(120);
    peer.drop_silent_peers(later);
    assert!(!peer.targets().is_open(key, later));
}

#[test]
fn requests_wait_or_are_refused_while_all_targets_of_a_service_leave() {
    let (mut core, first, second) = two_targets();
    for key in [first, second] {
        core.targets_mut().record_word(key, LEAVING, start());
    }
    let PlacementOutcome::Refused(FinalOutcome::Refused { retry_after, .. }) =
        place(&mut core, 9, start())
    else {
        panic!("no target takes it");
    };
    assert!(retry_after.is_some());
}

#[test]
fn at_most_two_requests_reach_a_target_in_its_pause() {
    let (mut core, paused, _) = two_targets();
    core.targets_mut().record_word(paused, pause(3), start());
    let sent = (0..30)
        .filter(|step| {
            let now = start() + Duration::from_millis(step * 100);
            next_target(&mut core, 100 + step, now) == Some(paused)
        })
        .count();
    assert!(sent <= REQUESTS_IN_PAUSE, "{sent}");
    assert_eq!(sent, 0);
}

#[test]
fn requests_return_a_few_at_a_time_after_a_pause() {
    let mut core = core(1, RequestKind::Idempotent);
    let session = send(&mut core, 1, start());
    let key = session.placement().target;
    core.targets_mut().record_word(key, pause(2), start());
    core.targets_mut().end_attempt(key);
    match session.close(&mut core, AttemptEvidence::Declined, start()) {
        SessionStep::Retry(_) => {}
        SessionStep::Ended(outcome) => panic!("{outcome:?}"),
    }
    let end = start() + Duration::from_secs(2);
    let first = send(&mut core, 2, end);
    assert_eq!(next_target(&mut core, 3, end), None, "one at a time");
    core.targets_mut().end_attempt(key);
    first.answered(&mut core, &AttemptSample::default(), end);
    send(&mut core, 4, end);
    assert!(next_target(&mut core, 5, end).is_some(), "two slots, and an answer has come");
}

#[test]
fn requests_are_refused_until_the_first_pause_ends_if_all_targets_pause() {
    let (mut core, first, second) = two_targets();
    core.targets_mut().record_word(first, pause(5), start());
    core.targets_mut().record_word(second, pause(9), start());
    let now = start() + Duration::from_secs(1);
    let waits = place(&mut core, 7, now);
    assert!(matches!(waits, PlacementOutcome::Waiting(..)), "{waits:?}");
    let PlacementOutcome::Waiting(session, until) = waits else { return };
    assert!(until <= now + TARGET_LATENCY);
    let PlacementOutcome::Refused(FinalOutcome::Refused { retry_after, .. }) =
        session.place(&mut core, 0.5, until)
    else {
        panic!("it would be late");
    };
    let left = (start() + Duration::from_secs(5)).since(until);
    let retry_after = retry_after.expect("the end of the pause");
    assert!(retry_after >= left && retry_after <= left * 3 / 2, "{retry_after:?} beside {left:?}");
}

#[test]
fn a_pause_is_no_sign_of_ill_health() {
    let (mut core, paused, _) = two_targets();
    for _ in 0..5 {
        core.targets_mut().record_word(paused, pause(1), start());
    }
    let report = core.digest(1, start()).targets;
    let bad: u32 = report.iter().map(|(_, report)| report.bad).sum();
    assert_eq!(bad, 0);
    let end = start() + Duration::from_secs(1);
    assert_eq!(core.targets().standing(paused, end), Some(StandingState::Open));
}

#[test]
fn a_request_that_was_not_sent_because_of_a_pause_is_no_failure_of_the_target() {
    let mut core = core(1, RequestKind::Idempotent);
    let session = send(&mut core, 1, start());
    let key = session.placement().target;
    core.targets_mut().record_word(key, pause(1), start());
    core.targets_mut().end_attempt(key);
    drop(session.close(&mut core, AttemptEvidence::NotSent, start()));
    let bad: u32 = core.digest(1, start()).targets.iter().map(|(_, report)| report.bad).sum();
    assert_eq!(bad, 0);
}

#[test]
fn a_target_that_pauses_does_not_keep_requests_from_one_that_has_failed() {
    let (mut core, paused, failed) = two_targets();
    core.targets_mut().record_word(paused, pause(5), start());
    core.targets_mut().record_failure(failed, start());
    core.targets_mut().record_failure(failed, start());
    assert_eq!(next_target(&mut core, 9, start()), Some(failed), "there is no better one");
}

#[test]
fn a_pause_holds_as_long_as_stated_up_to_ten_minutes() {
    for (stated, held) in [(45, 45), (599, 599), (600, 600), (1_000_000, 600)] {
        let (mut core, paused, _) = two_targets();
        core.targets_mut().record_word(paused, pause(stated), start());
        let end = start() + Duration::from_secs(held);
        let before = MonoTime::from_millis(end.as_millis() - 1);
        let state = core.targets().standing(paused, before);
        assert_eq!(state, Some(StandingState::Paused { until: end }), "{stated}");
        assert_eq!(core.targets().standing(paused, end), Some(StandingState::Open));
    }
}

#[test]
fn the_word_of_one_member_reaches_others_in_the_sum_of_a_domain() {
    let code = TargetCode::of("i-0");
    let report = |leaving_run: u16| GateDigest {
        targets: vec![(code, TargetReport { running: 1, leaving_run, ..Default::default() })],
        members: 1,
        ..GateDigest::default()
    };
    let sum = GateDigest::sum(&report(0), [&report(2), &report(0)].into_iter());
    assert_eq!(sum.targets[0].1.leaving_run, 2);
    let name = TargetId::new("i-0");
    let mut peer = core(1, STREAM);
    peer.apply_digest("domain", &sum, start());
    let key = send(&mut core(1, STREAM), 1, start()).placement().target;
    let entry = peer.targets().entry(key).expect("known");
    assert_eq!(entry.id, name);
    assert_ne!(peer.targets().standing(key, start()), Some(StandingState::Open));
}
