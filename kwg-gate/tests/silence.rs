//! A target that is silent for a while is given up only if another one can take the request over.

mod support;

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    AttemptEvidence, Dispatched, FinalOutcome, GateCore, GateSession, HandingOver,
    PlacementOutcome, Received, RequestDetails, RequestKind, RetryBudgetOptions, SessionStep,
    TargetKey, TargetRegistry,
};
use kwg_model::MonoTime;
use support::{STREAM, core, core_with};

fn now() -> MonoTime {
    MonoTime::from_millis(1_000)
}

/// Sends one request, which occupies a slot.
fn send(core: &mut GateCore, id: &str) -> GateSession<Dispatched> {
    let details = RequestDetails {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/a".to_owned(),
        key: None,
        parts: Vec::new(),
        tokens: None,
        arrived: now(),
        deadline: now() + Duration::from_secs(10),
        fingerprint: id.len() as u64,
    };
    let session = GateSession::<Received>::new(details).admit(core, 0.5, now()).expect("admitted");
    let PlacementOutcome::Placed(placed) = session.place(core, 0.5, now()) else {
        panic!("a slot is free");
    };
    let dispatched = placed.dispatch();
    core.targets_mut().begin_attempt(dispatched.placement().target, 0);
    dispatched
}

#[test]
fn a_silent_target_is_given_up_for_one_with_a_free_slot() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    assert!(session.reserve(&core, 0.5, now()).is_some());
}

#[test]
fn a_silent_target_is_not_given_up_while_all_others_are_full() {
    // Seen in the middle of an overload: streams were cut after 1.2 s of silence, and no other
    // target had room for them.
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    while core.targets().free_slots("llm", now()) > 0 {
        send(&mut core, "other");
    }
    assert_eq!(session.reserve(&core, 0.5, now()), None);
}

#[test]
fn a_silent_target_is_not_given_up_if_there_is_no_other() {
    let mut core = core(1, STREAM);
    let session = send(&mut core, "r1");
    assert_eq!(session.reserve(&core, 0.5, now()), None);
}

#[test]
fn a_request_that_must_not_be_repeated_stays_with_its_silent_target() {
    for kind in [RequestKind::NonIdempotent, RequestKind::Stream { resumable: false }] {
        let mut core = core(2, kind);
        let session = send(&mut core, "r1");
        assert_eq!(session.reserve(&core, 0.5, now()), None, "{kind:?}");
    }
}

/// Sends the request of a silent target to a second one as well.
fn hand_over(core: &mut GateCore, session: GateSession<Dispatched>) -> GateSession<HandingOver> {
    let reserved = session.reserve(core, 0.5, now()).expect("a slot is free");
    session.hand_over(core, reserved, now()).expect("the budget has room")
}

#[test]
fn a_silent_target_is_not_given_up_shortly_before_the_deadline() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    let shortly_before = now() + Duration::from_millis(9_750);
    assert_eq!(session.reserve(&core, 0.5, shortly_before), None);
    assert!(session.reserve(&core, 0.5, now() + Duration::from_secs(9)).is_some());
}

#[test]
fn a_hand_over_ends_before_two_targets_have_worked_for_too_long() {
    let mut core = core(2, STREAM);
    let session = send(&mut core, "r1");
    let handing = hand_over(&mut core, session);
    assert!(handing.hand_over_limit(now()).since(now()) < Duration::from_millis(400));
}

#[test]
fn a_request_goes_on_at_its_silent_target_if_the_second_one_declines() {
    let mut core = core(3, STREAM);
    let session = send(&mut core, "r1");
    let first = session.placement().target;
    let handing = hand_over(&mut core, session);
    let second = handing.second().target;
    assert_ne!(first, second);
    let session = handing.give_up(&mut core, AttemptEvidence::Declined, now());
    assert_eq!(session.placement().target, first);
    // The second one did not run it, so a third one may take it over.
    let third = hand_over(&mut core, session).second().target;
    assert!(third != first && third != second);
}

#[test]
fn a_request_that_was_cut_at_the_second_target_runs_at_no_third_one() {
    for evidence in [AttemptEvidence::Cut, AttemptEvidence::TargetFailure] {
        let mut core = core(3, STREAM);
        let session = send(&mut core, "r1");
        let first = session.placement().target;
        let session = hand_over(&mut core, session).give_up(&mut core, evidence, now());
        assert_eq!(session.placement().target, first);
        assert_eq!(session.reserve(&core, 0.5, now()), None, "{evidence:?}");
        let step = session.close(&mut core, AttemptEvidence::Cut, now());
        assert!(matches!(step, SessionStep::Ended(FinalOutcome::Unknown(_))), "{step:?}");
    }
}

/// A request that the second of its targets has taken over from the silent first one.
fn taken_over(core: &mut GateCore) -> (TargetKey, TargetKey, GateSession<Dispatched>) {
    let session = send(core, "r1");
    let handing = hand_over(core, session);
    let (first, second) = (handing.first().target, handing.second().target);
    core.targets_mut().end_attempt(first);
    let session = handing.complete(core, AttemptEvidence::Silent, now());
    assert_eq!((session.placement().target, session.tried()), (second, &[first][..]));
    (first, second, session)
}

/// The request is cut at the second target. Returns it after it has been sent again.
fn cut_and_sent(core: &mut GateCore, session: GateSession<Dispatched>) -> GateSession<Dispatched> {
    let step = session.close(core, AttemptEvidence::Cut, now());
    let SessionStep::Retry(again) = step else { panic!("one of its targets had not failed") };
    match again.place(core, 0.5, now()) {
        PlacementOutcome::Placed(placed) => placed.dispatch(),
        outcome => panic!("a slot is free: {outcome:?}"),
    }
}

/// Removes one of three targets from the registry.
fn remove(core: &mut GateCore, target: TargetKey) {
    let name = core.targets().entry(target).expect("known").id.clone();
    let mut registry = TargetRegistry::default();
    let others = support::registry(3);
    registry.replace(2, others.entries().filter(|entry| entry.id != name).cloned(), now());
    core.set_registry(&Arc::new(registry));
}

fn assert_ends_when_cut(core: &mut GateCore, session: GateSession<Dispatched>) {
    assert_eq!(session.reserve(core, 0.5, now()), None);
    let step = session.close(core, AttemptEvidence::Cut, now());
    assert!(matches!(step, SessionStep::Ended(FinalOutcome::Unknown(_))), "{step:?}");
}

#[test]
fn a_request_that_is_taken_over_and_cut_returns_once_and_runs_at_no_third_target() {
    let mut core = core(3, STREAM);
    let (first, _, session) = taken_over(&mut core);
    let session = cut_and_sent(&mut core, session);
    assert_eq!(session.placement().target, first, "two targets are allowed");
    assert_ends_when_cut(&mut core, session);
}

#[test]
fn a_request_that_is_taken_over_and_silent_again_returns_once_and_runs_at_no_third_target() {
    for evidence in [AttemptEvidence::Silent, AttemptEvidence::Cut] {
        let mut core = core(3, STREAM);
        let (first, _, session) = taken_over(&mut core);
        for draw in 0..20 {
            let reserved = session.reserve(&core, f64::from(draw) / 20.0, now());
            let target = reserved.map(|reserved| reserved.placement().target);
            assert_eq!(target, Some(first), "two targets are allowed");
        }
        let session = hand_over(&mut core, session).complete(&mut core, evidence, now());
        assert_eq!(session.placement().target, first);
        assert_ends_when_cut(&mut core, session);
    }
}

#[test]
fn a_request_whose_return_shows_nothing_ends_when_its_second_target_cuts_it() {
    for evidence in [AttemptEvidence::Withdrawn, AttemptEvidence::Cut] {
        let mut core = core(3, STREAM);
        let (_, second, session) = taken_over(&mut core);
        let session = hand_over(&mut core, session).give_up(&mut core, evidence, now());
        assert_eq!(session.placement().target, second);
        assert_ends_when_cut(&mut core, session);
    }
}

#[test]
fn a_request_whose_return_is_declined_runs_at_no_third_target() {
    let mut core = core(3, STREAM);
    let (first, _, session) = taken_over(&mut core);
    let declined = AttemptEvidence::Declined;
    let session = hand_over(&mut core, session).give_up(&mut core, declined, now());
    let session = cut_and_sent(&mut core, session);
    assert_eq!(session.placement().target, first, "two targets are allowed");
    let step = session.close(&mut core, AttemptEvidence::NotSent, now());
    assert!(matches!(step, SessionStep::Ended(FinalOutcome::Unknown(_))), "{step:?}");
}

#[test]
fn a_request_that_is_taken_over_and_cut_does_not_wait_for_a_target_that_has_left() {
    let mut core = core(3, STREAM);
    let (first, _, session) = taken_over(&mut core);
    remove(&mut core, first);
    let step = session.close(&mut core, AttemptEvidence::Cut, now());
    let SessionStep::Retry(again) = step else { panic!("one of its targets had not failed") };
    let outcome = again.place(&mut core, 0.5, now());
    assert!(matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Unknown(_))), "{outcome:?}");
}

#[test]
fn a_request_that_is_taken_over_and_cut_runs_at_no_third_target_that_declined_it_earlier() {
    let mut core = core(3, STREAM);
    let session = send(&mut core, "r1");
    let first = session.placement().target;
    let handing = hand_over(&mut core, session);
    let session = handing.give_up(&mut core, AttemptEvidence::Declined, now());
    let handing = hand_over(&mut core, session);
    let session = handing.complete(&mut core, AttemptEvidence::Silent, now());
    remove(&mut core, first);
    let cut = now() + Duration::from_secs(3);
    let step = session.close(&mut core, AttemptEvidence::Cut, cut);
    let SessionStep::Retry(again) = step else { panic!("one of its targets had not failed") };
    let outcome = again.place(&mut core, 0.5, cut);
    assert!(matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Unknown(_))), "{outcome:?}");
}

#[test]
fn a_request_that_is_taken_over_and_cut_returns_only_within_the_budget() {
    // One retry in all, for the hand-over.
    let retry = RetryBudgetOptions { ratio: 0.0, extra: 1.3, ..RetryBudgetOptions::default() };
    let mut core = core_with(3, STREAM, 2, retry);
    let (_, _, session) = taken_over(&mut core);
    assert_ends_when_cut(&mut core, session);
}

#[test]
fn a_request_that_is_taken_over_and_cut_is_resumed_at_a_third_target_if_three_are_allowed() {
    let mut core = core_with(3, STREAM, 3, RetryBudgetOptions::default());
    let (first, second, session) = taken_over(&mut core);
    let session = cut_and_sent(&mut core, session);
    let third = session.placement().target;
    assert!(third != first && third != second);
}

#[test]
fn a_request_that_may_have_run_at_either_target_is_not_refused() {
    // Both targets decline at the end, but one of them has been silent or cut before.
    for evidence in [AttemptEvidence::Cut, AttemptEvidence::Silent] {
        let mut core = core_with(2, STREAM, 3, RetryBudgetOptions::default());
        let session = send(&mut core, "r1");
        let handing = hand_over(&mut core, session);
        let mut session = match evidence {
            AttemptEvidence::Silent => handing.complete(&mut core, AttemptEvidence::Silent, now()),
            _ => handing.give_up(&mut core, evidence, now()),
        };
        loop {
            match session.close(&mut core, AttemptEvidence::Declined, now()) {
                SessionStep::Retry(again) => match again.place(&mut core, 0.5, now()) {
                    PlacementOutcome::Placed(placed) => session = placed.dispatch(),
                    PlacementOutcome::Refused(outcome) => {
                        assert!(matches!(outcome, FinalOutcome::Unknown(_)), "{outcome:?}");
                        break;
                    }
                    PlacementOutcome::Waiting(..) => panic!("slots are free"),
                },
                SessionStep::Ended(outcome) => {
                    assert!(matches!(outcome, FinalOutcome::Unknown(_)), "{outcome:?}");
                    break;
                }
            }
        }
    }
}

#[test]
fn a_request_stays_with_its_silent_target_if_the_budget_is_spent_after_the_reservation() {
    // Two retries in all, at most 0.8 of 2.5.
    let retry = RetryBudgetOptions { ratio: 0.0, extra: 2.5, ..RetryBudgetOptions::default() };
    let mut core = core_with(3, STREAM, 2, retry);
    let sessions = ["r1", "other", "another"].map(|id| send(&mut core, id));
    let reserved = sessions.each_ref().map(|session| {
        session.reserve(&core, 0.5, now()).expect("the budget has room for one more")
    });
    let handed = sessions.into_iter().zip(reserved).map(|(session, reserved)| {
        let first = session.placement().target;
        session.hand_over(&mut core, reserved, now()).map_err(|kept| (first, kept))
    });
    let refused: Vec<_> = handed.filter_map(Result::err).collect();
    let [(first, kept)] = &refused[..] else { panic!("one more than the budget allows") };
    assert_eq!(kept.placement().target, *first);
    assert!(kept.tried().is_empty());
    assert_eq!(kept.reserve(&core, 0.5, now()), None, "no reservation without budget");
}

#[test]
fn a_reserved_target_that_cannot_be_reached_counts_as_failed() {
    let mut core = core(3, STREAM);
    let session = send(&mut core, "r1");
    let reserve = |core: &GateCore| session.reserve(core, 0.5, now()).expect("a slot is free");
    let (reserved, target) = (reserve(&core), reserve(&core).placement().target);
    session.record_unreached(&mut core, reserved, now());
    assert_ne!(reserve(&core).placement().target, target, "a target that has not failed is better");
}
