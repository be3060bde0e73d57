//! How a request waits for a slot for its next run after one has ended without an answer.

mod support;

use std::time::Duration;

use kwg_gate::{
    Admitted, AttemptEvidence, EndKey, EndRecord, FinalOutcome, GateCore, GateDigest, GateSession,
    InstanceMap, PlacementOutcome, RetryBudget, RetryBudgetOptions, ServiceName, SessionStep,
    TargetKey, TargetRun, UnknownReason,
};
use kwg_model::MonoTime;
use support::{STREAM, TARGET_LATENCY, core, core_with, place, registry, send, start};

/// Time after a cut for which a request waits for a target to be back or to appear.
const RETURN_LIMIT: Duration = Duration::from_secs(1);

/// A stream that was cut while all slots of the other target are in use.
fn cut_stream(core: &mut GateCore, now: MonoTime) -> GateSession<Admitted> {
    let session = send(core, 1, start());
    let target = session.placement().target;
    let mut number = 2;
    while core.targets().free_slots("llm", start()) > 0 {
        send(core, number, start());
        number += 1;
    }
    core.targets_mut().end_attempt(target);
    match session.close(core, AttemptEvidence::Cut, now) {
        SessionStep::Retry(again) => again,
        SessionStep::Ended(outcome) => panic!("two runs are allowed: {outcome:?}"),
    }
}

#[test]
fn a_stream_that_was_cut_waits_no_longer_than_its_next_event_can_come_in_time() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_secs(3);
    let again = cut_stream(&mut core, cut);
    let due = again.due();
    let PlacementOutcome::Waiting(again, until) = again.place(&mut core, 0.5, cut) else {
        panic!("most of its time is left");
    };
    assert!(until < due);
    let PlacementOutcome::Refused(outcome) = again.place(&mut core, 0.5, until) else {
        panic!("it waits in vain");
    };
    assert_eq!(outcome, FinalOutcome::Unknown(UnknownReason::Cut), "never 'not run'");
}

#[test]
fn a_request_that_has_not_run_is_refused_as_soon_as_its_answer_would_be_late() {
    let mut core = core(1, STREAM);
    send(&mut core, 1, start());
    send(&mut core, 2, start());
    let PlacementOutcome::Waiting(waiting, until) = place(&mut core, 3, start()) else {
        panic!("all slots are in use");
    };
    assert!(until <= start() + TARGET_LATENCY);
    let outcome = waiting.place(&mut core, 0.5, until);
    assert!(
        matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Refused { .. })),
        "{outcome:?}"
    );
}

#[test]
fn a_stream_that_was_cut_goes_before_requests_that_have_not_run() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_millis(100);
    let again = cut_stream(&mut core, cut);
    send(&mut core, 90, start());
    let PlacementOutcome::Waiting(first, _) = place(&mut core, 91, start()) else {
        panic!("the slot of the cut stream is in use again");
    };
    let service = again.service().clone();
    let first = first.enter_queue(core.waiting_mut());
    let again = again.enter_queue(core.waiting_mut());
    assert_eq!(core.waiting().next(&service, 0.9), Some(again));
    assert_eq!(core.waiting().next(&service, 0.01), Some(first), "it has waited longest");
    assert!(first.is_first_run() && !again.is_first_run());
}

#[test]
fn a_retry_that_has_waited_counts_in_the_budget_when_it_is_sent() {
    let options = RetryBudgetOptions { ratio: 0.0, extra: 10.0, window: Duration::from_secs(10) };
    let service = ServiceName::new("llm");
    let mut budget = RetryBudget::new(options);
    let (taken, sent) = (start(), start() + Duration::from_secs(9));
    for _ in 0..8 {
        assert!(budget.take(&service, 1, taken), "eight of ten may be used");
    }
    for _ in 0..8 {
        assert!(budget.renew(&service, taken, 1, sent));
    }
    let later = taken + Duration::from_secs(12);
    assert!(!budget.take(&service, 1, later), "eight were sent within the window");
    let ended = sent + Duration::from_secs(11);
    assert!(budget.take(&service, 1, ended));
}

#[test]
fn a_retry_that_was_taken_before_the_window_is_taken_anew() {
    let options = RetryBudgetOptions { ratio: 0.0, extra: 2.0, window: Duration::from_secs(10) };
    let service = ServiceName::new("llm");
    let mut budget = RetryBudget::new(options);
    assert!(budget.take(&service, 1, start()));
    let later = start() + Duration::from_secs(11);
    assert!(budget.take(&service, 1, later));
    assert!(!budget.renew(&service, start(), 1, later), "the window holds one");
}

#[test]
fn a_request_that_breaks_targets_is_not_sent_again_after_its_wait() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_secs(1);
    let again = cut_stream(&mut core, cut);
    let PlacementOutcome::Waiting(again, _) = again.place(&mut core, 0.5, cut) else {
        panic!("most of its time is left");
    };
    // Peers have seen two more targets end under the same request.
    let end = |target: &str| EndRecord {
        key: EndKey { suspect: 1.into(), run: TargetRun::of(target, 1), ordinal: 0 },
        is_void: false,
        was_answered: false,
        is_crowded: false,
        is_proved: false,
        has_begun: false,
        held_ms: 40,
        age_ms: 100,
    };
    let digest = GateDigest { ends: vec![end("i-8"), end("i-9")], ..GateDigest::default() };
    core.apply_digest("peer", &digest, cut);
    core.set_registry(&registry(3));
    let outcome = again.place(&mut core, 0.5, cut + Duration::from_secs(1));
    assert!(matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Unknown(_))), "{outcome:?}");
}

#[test]
fn a_request_that_waits_at_a_stop_is_refused_while_its_answer_can_still_be_written() {
    let mut core = core(1, STREAM);
    send(&mut core, 1, start());
    send(&mut core, 2, start());
    let end = start() + Duration::from_millis(300);
    core.set_end(end);
    let PlacementOutcome::Waiting(waiting, until) = place(&mut core, 3, start()) else {
        panic!("a slot may become free before the end");
    };
    assert!(until < end, "an answer takes a while");
    let PlacementOutcome::Refused(outcome) = waiting.place(&mut core, 0.5, until) else {
        panic!("its answer would not end");
    };
    assert_eq!(outcome, FinalOutcome::stopping());
}

#[test]
fn a_stream_that_was_cut_is_not_reported_as_not_run_by_a_stopping_instance() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_secs(3);
    let again = cut_stream(&mut core, cut);
    let end = cut + Duration::from_millis(300);
    core.set_end(end);
    let PlacementOutcome::Waiting(again, until) = again.place(&mut core, 0.5, cut) else {
        panic!("a slot may become free before the end");
    };
    assert!(until < end);
    let PlacementOutcome::Refused(outcome) = again.place(&mut core, 0.5, until) else {
        panic!("its next event would not come before the end");
    };
    assert_eq!(outcome, FinalOutcome::Unknown(UnknownReason::Cut));
}

#[test]
fn nothing_is_sent_at_the_end_of_a_stop() {
    let mut core = core(1, STREAM);
    core.set_end(start());
    let outcome = place(&mut core, 1, start());
    assert!(
        matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Refused { .. })),
        "{outcome:?}"
    );
}

/// A stream that was cut at the only target.
fn cut_at_only_target(core: &mut GateCore, cut: MonoTime) -> (TargetKey, GateSession<Admitted>) {
    let session = send(core, 1, start());
    let target = session.placement().target;
    core.targets_mut().end_attempt(target);
    match session.close(core, AttemptEvidence::Cut, cut) {
        SessionStep::Retry(again) => (target, again),
        SessionStep::Ended(outcome) => panic!("two runs are allowed: {outcome:?}"),
    }
}

#[test]
fn a_stream_that_was_cut_is_sent_to_its_only_target_again_after_a_pause() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (target, again) = cut_at_only_target(&mut core, cut);
    let PlacementOutcome::Waiting(again, until) = again.place(&mut core, 0.5, cut) else {
        panic!("its target may be back");
    };
    assert!(until > cut && until < cut + RETURN_LIMIT);
    let PlacementOutcome::Placed(placed) = again.place(&mut core, 0.5, until) else {
        panic!("a slot is free");
    };
    let sent = placed.dispatch();
    assert_eq!(sent.placement().target, target);
    // Two runs are allowed.
    let step = sent.close(&mut core, AttemptEvidence::Cut, until);
    assert!(matches!(step, SessionStep::Ended(FinalOutcome::Unknown(_))), "{step:?}");
}

#[test]
fn a_stream_that_was_cut_waits_for_a_target_to_appear() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (_, again) = cut_at_only_target(&mut core, cut);
    core.set_registry(&registry(0));
    let appears = cut + Duration::from_millis(900);
    let mut waiting = again;
    let mut now = cut;
    while now < appears {
        let PlacementOutcome::Waiting(again, until) = waiting.place(&mut core, 0.5, now) else {
            panic!("a target may appear");
        };
        (waiting, now) = (again, until.min(appears));
    }
    core.set_registry(&registry(1));
    let outcome = waiting.place(&mut core, 0.5, appears);
    assert!(matches!(outcome, PlacementOutcome::Placed(_)), "{outcome:?}");
}

#[test]
fn a_stream_that_was_cut_waits_for_no_target_for_long() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (_, again) = cut_at_only_target(&mut core, cut);
    core.set_registry(&registry(0));
    let (mut waiting, mut now) = (again, cut);
    let outcome = loop {
        match waiting.place(&mut core, 0.5, now) {
            PlacementOutcome::Waiting(again, until) => (waiting, now) = (again, until),
            PlacementOutcome::Placed(_) => panic!("no target is known"),
            PlacementOutcome::Refused(outcome) => break outcome,
        }
    };
    assert_eq!(outcome, FinalOutcome::Unknown(UnknownReason::Cut));
    assert_eq!(now, cut + RETURN_LIMIT);
}

#[test]
fn a_stream_that_was_cut_is_sent_again_when_its_only_target_accepts_connections_again() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (_, mut again) = cut_at_only_target(&mut core, cut);
    let mut now = cut;
    let mut refused = 0;
    while now < cut + Duration::from_millis(700) {
        match again.place(&mut core, 0.5, now) {
            PlacementOutcome::Waiting(waiting, until) => (again, now) = (waiting, until),
            PlacementOutcome::Placed(placed) => {
                let step = placed.dispatch().close(&mut core, AttemptEvidence::NotSent, now);
                let SessionStep::Retry(waiting) = step else { panic!("nothing was sent") };
                (again, refused) = (waiting, refused + 1);
            }
            PlacementOutcome::Refused(outcome) => panic!("given up: {outcome:?}"),
        }
    }
    assert!((1..=4).contains(&refused), "{refused}");
    let outcome = again.place(&mut core, 0.5, now);
    assert!(matches!(outcome, PlacementOutcome::Placed(_)), "{outcome:?}");
}

#[test]
fn a_target_that_accepts_no_connections_is_asked_again_for_no_longer_than_a_second() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (_, mut again) = cut_at_only_target(&mut core, cut);
    let mut now = cut;
    let outcome = loop {
        match again.place(&mut core, 0.5, now) {
            PlacementOutcome::Waiting(waiting, until) => (again, now) = (waiting, until),
            PlacementOutcome::Placed(placed) => {
                match placed.dispatch().close(&mut core, AttemptEvidence::NotSent, now) {
                    SessionStep::Retry(waiting) => again = waiting,
                    SessionStep::Ended(outcome) => break outcome,
                }
            }
            PlacementOutcome::Refused(outcome) => break outcome,
        }
    };
    assert_eq!(outcome, FinalOutcome::Unknown(UnknownReason::Cut));
    assert!(now <= cut + RETURN_LIMIT, "{now:?}");
}

#[test]
fn a_stream_that_was_cut_is_resumed_at_an_untried_target_without_a_pause() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (target, again) = cut_at_only_target(&mut core, cut);
    let PlacementOutcome::Placed(placed) = again.place(&mut core, 0.5, cut) else {
        panic!("the other target is idle");
    };
    assert_ne!(placed.dispatch().placement().target, target);
}

#[test]
fn a_target_that_failed_a_request_is_not_asked_again_for_it() {
    let mut core = core(1, STREAM);
    let session = send(&mut core, 1, start());
    core.targets_mut().end_attempt(session.placement().target);
    let step = session.close(&mut core, AttemptEvidence::TargetFailure, start());
    let SessionStep::Retry(again) = step else { panic!("two runs are allowed") };
    // Its failure reply is passed on.
    let outcome = again.place(&mut core, 0.5, start());
    assert!(matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Unknown(_))), "{outcome:?}");
}

#[test]
fn a_request_that_was_cut_waits_for_no_target_beyond_the_end_of_a_stop() {
    let mut core = core(1, STREAM);
    let cut = start() + Duration::from_secs(3);
    let (_, again) = cut_at_only_target(&mut core, cut);
    core.set_registry(&registry(0));
    let end = cut + Duration::from_millis(200);
    core.set_end(end);
    let PlacementOutcome::Waiting(again, until) = again.place(&mut core, 0.5, cut) else {
        panic!("a target may appear before the end");
    };
    assert!(until <= end);
    let outcome = again.place(&mut core, 0.5, end);
    assert!(matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Unknown(_))), "{outcome:?}");
}

/// A stream that was sent to both targets: the second one declined it, and the first one was cut.
fn declined_and_cut(core: &mut GateCore, cut: MonoTime) -> GateSession<Admitted> {
    let session = send(core, 1, start());
    let first = session.placement().target;
    let reserved = session.reserve(core, 0.5, start()).expect("a slot is free");
    let handing = session.hand_over(core, reserved, start()).expect("the budget has room");
    let session = handing.give_up(core, AttemptEvidence::Declined, start());
    core.targets_mut().end_attempt(first);
    match session.close(core, AttemptEvidence::Cut, cut) {
        SessionStep::Retry(again) => again,
        SessionStep::Ended(outcome) => panic!("it has run once: {outcome:?}"),
    }
}

#[test]
fn a_stream_that_was_cut_is_resumed_at_a_target_that_declined_it_earlier() {
    let mut core = core(2, STREAM);
    let cut = start() + Duration::from_secs(3);
    let again = declined_and_cut(&mut core, cut);
    let outcome = again.place(&mut core, 0.5, cut);
    assert!(matches!(outcome, PlacementOutcome::Placed(_)), "given up: {outcome:?}");
}

#[test]
fn a_request_that_every_target_declined_is_refused_as_not_run() {
    let mut core = core(1, STREAM);
    let session = send(&mut core, 1, start());
    core.targets_mut().end_attempt(session.placement().target);
    let declined = session.close(&mut core, AttemptEvidence::Declined, start());
    let SessionStep::Retry(again) = declined else { panic!("it has not run") };
    let outcome = again.place(&mut core, 0.5, start());
    assert!(
        matches!(outcome, PlacementOutcome::Refused(FinalOutcome::Refused { .. })),
        "{outcome:?}"
    );
}

#[test]
fn an_instance_that_has_just_started_spends_only_its_share_of_the_extra_retries() {
    const INSTANCES: u32 = 9;
    const EXTRA: u32 = 45;
    let retry =
        RetryBudgetOptions { ratio: 0.0, extra: f64::from(EXTRA), window: Duration::from_secs(10) };
    let mut core = core_with(2, STREAM, 2, retry);
    // The rows in the store name the others; none of them has been heard yet.
    let names = (0..INSTANCES).map(|number| format!("i{number}")).collect();
    let domains = [("a".to_owned(), names)].into();
    core.set_instances(&InstanceMap { own: "i0".to_owned(), domains });
    let mut retries = 0;
    for number in 0..EXTRA {
        let PlacementOutcome::Placed(placed) = place(&mut core, u64::from(number), start()) else {
            continue;
        };
        let evidence = AttemptEvidence::BadAnswer;
        if let SessionStep::Retry(_) = placed.dispatch().close(&mut core, evidence, start()) {
            retries += 1;
        }
    }
    assert!(retries <= EXTRA / INSTANCES, "{retries} retries");
}
