//! What follows for a request, and for its targets, when one of its runs has ended without an answer.

mod support;

use std::time::Duration;

use kwg_gate::{
    AttemptEvidence, AttemptSample, FinalOutcome, PlacementOutcome, RequestKind, SessionStep,
};
use support::{SLOTS, STREAM, TARGET_LATENCY, core, place, send, start};

const HAND_OVER_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_stream_that_was_cut_late_waits_for_a_slot_to_be_resumed() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, 1, start());
    let target = session.placement().target;
    // Three seconds into the stream its target crashes. The slots of the other one are in use at this
    // moment, and it has seven seconds left.
    let mut number = 2;
    while core.targets().free_slots("llm", start()) > 0 {
        send(&mut core, number, start());
        number += 1;
    }
    let cut = start() + Duration::from_secs(3);
    core.targets_mut().end_attempt(target);
    let SessionStep::Retry(again) = session.close(&mut core, AttemptEvidence::Cut, cut) else {
        panic!("two runs are allowed");
    };
    let outcome = again.place(&mut core, 0.5, cut);
    let PlacementOutcome::Waiting(_, until) = outcome else {
        panic!("given up at once: {outcome:?}");
    };
    assert!(until >= cut + TARGET_LATENCY);
}

#[test]
fn a_target_is_not_paused_because_it_showed_nothing_within_two_hand_overs() {
    let mut core = core(2, STREAM);
    // All slots are in use, and then only those of one target.
    let sent: Vec<_> = (1..=4).map(|number| send(&mut core, number, start())).collect();
    let first = sent[0].placement().target;
    let (sessions, others): (Vec<_>, Vec<_>) =
        sent.into_iter().partition(|session| session.placement().target == first);
    others.iter().for_each(|other| core.targets_mut().end_attempt(other.placement().target));
    // Both requests of the silent target are shown to the other one, which is left again after 300 ms
    // each. Its answer may have been due a moment later.
    let mut now = start() + Duration::from_secs(2);
    assert_eq!(sessions.len(), 2);
    for session in sessions {
        let reserved = session.reserve(&core, 0.5, now).expect("a slot is free");
        let second = reserved.placement().target;
        core.targets_mut().begin_attempt(second, 0);
        let handing = session.hand_over(&mut core, reserved, now).expect("the budget has room");
        now = now + HAND_OVER_TIME;
        core.targets_mut().end_attempt(second);
        let kept = handing.give_up(&mut core, AttemptEvidence::Withdrawn, now);
        assert_eq!(kept.placement().target, first);
    }
    let outcome = place(&mut core, 9, now);
    assert!(matches!(outcome, PlacementOutcome::Placed(_)), "both slots are free: {outcome:?}");
}

#[test]
fn a_request_is_sent_to_the_only_target_that_can_be_connected() {
    for kind in [STREAM, RequestKind::NonIdempotent] {
        let mut core = core(8, kind);
        let mut tried = Vec::new();
        let mut session = send(&mut core, 1, start());
        while tried.len() < 7 {
            let target = session.placement().target;
            assert!(!tried.contains(&target), "each target is asked once");
            tried.push(target);
            core.targets_mut().end_attempt(target);
            let step = session.close(&mut core, AttemptEvidence::NotSent, start());
            let SessionStep::Retry(again) = step else {
                panic!("an idle target is left: {step:?}")
            };
            let PlacementOutcome::Placed(placed) = again.place(&mut core, 0.5, start()) else {
                panic!("a slot is free");
            };
            session = placed.dispatch();
        }
        assert!(!tried.contains(&session.placement().target));
        // All of them are tried now: it has not run, and the caller is told so.
        let step = session.close(&mut core, AttemptEvidence::NotSent, start());
        let SessionStep::Retry(again) = step else { panic!("no attempt has been used: {step:?}") };
        let outcome = again.place(&mut core, 0.5, start());
        let is_refused = matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Refused { .. }));
        assert!(is_refused, "{outcome:?}");
    }
}

#[test]
fn a_hand_over_to_a_target_that_cannot_be_connected_uses_up_no_attempt() {
    let mut core = core(8, STREAM);
    let mut session = send(&mut core, 1, start());
    for _ in 0..6 {
        let reserved = session.reserve(&core, 0.5, start()).expect("an idle target is left");
        let handing = session.hand_over(&mut core, reserved, start()).expect("the budget has room");
        session = handing.give_up(&mut core, AttemptEvidence::NotSent, start());
    }
    assert!(session.reserve(&core, 0.5, start()).is_some());
}

/// An answer whose first event comes after about this time, since each event takes as long.
fn answer_of(event_ms: u64) -> AttemptSample {
    AttemptSample {
        hold: Duration::from_millis(10 * event_ms),
        event_gap: Some(Duration::from_millis(event_ms)),
        events: 10,
        tokens_per_event: 1.0,
        ..AttemptSample::default()
    }
}

#[test]
fn a_run_is_not_used_up_at_a_new_target_of_a_service_that_answers_slowly() {
    let mut core = core(3, STREAM);
    let session = send(&mut core, 1, start());
    let first = session.placement().target;
    let now = start() + Duration::from_secs(3);
    (0..5).for_each(|_| core.targets_mut().record_success(first, &answer_of(800), now));
    let reserved = session.reserve(&core, 0.5, now);
    assert_eq!(reserved, None, "no first event is expected within the time of a hand-over");
}

#[test]
fn a_request_is_handed_over_to_a_new_target_of_a_service_that_answers_quickly() {
    let mut core = core(3, STREAM);
    let slow = send(&mut core, 1, start());
    let quick = send(&mut core, 2, start());
    let (slow_target, quick_target) = (slow.placement().target, quick.placement().target);
    assert_ne!(slow_target, quick_target);
    let now = start() + Duration::from_secs(3);
    (0..5).for_each(|_| core.targets_mut().record_success(slow_target, &answer_of(800), now));
    (0..5).for_each(|_| core.targets_mut().record_success(quick_target, &answer_of(40), now));
    // The slots of the quick target are in use, so that only the new one is free.
    (0..SLOTS).for_each(|_| core.targets_mut().begin_attempt(quick_target, 0));
    let reserved = slow.reserve(&core, 0.5, now).expect("a slot is free");
    let target = reserved.placement().target;
    assert!(target != slow_target && target != quick_target);
}

#[test]
fn a_request_is_handed_over_while_nothing_is_known_about_the_service() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, 1, start());
    assert!(session.reserve(&core, 0.5, start()).is_some());
}
