//! Queueing, load shedding, deadlines, targets that refuse or close connections, and callers
//! that disconnect.

mod support;

use std::time::Duration;

use kwg_decide::QueueOptions;
use kwg_flow::{EventKind, TargetEvent, TrafficInput, TrafficOptions};
use kwg_model::{CallOutcome, CallSubmission, NotRunReason, UnknownReason};
use support::{ANSWER, SimFleet, submission};

/// Returns a fleet of one router, whose queue holds `queue_tokens` and whose two engines, limited
/// to one request each, are busy.
fn saturated(queue_tokens: u64) -> SimFleet {
    let options = TrafficOptions {
        queue: QueueOptions { max_tokens: queue_tokens, max_entries: 100 },
        ..TrafficOptions::default()
    };
    let mut fleet = SimFleet::with_options(1, 1, options);
    fleet.submit("r1", submission("labels"));
    fleet.submit("r1", submission("labels"));
    assert_eq!(fleet.cores["r1"].dispatched.len(), 2);
    fleet
}

#[test]
fn requests_of_higher_tiers_are_dispatched_first() {
    let mut fleet = saturated(1_000);
    fleet.submit("r1", submission("labels"));
    let urgent = fleet.submit("r1", submission("patches"));
    let first = fleet.cores["r1"].dispatched[0].permit.key().clone();
    fleet.answer("r1", &first);
    assert!(fleet.token("r1", urgent).is_some(), "the urgent request got the capacity");
    assert_eq!(fleet.cores["r1"].core.queued_count(), 1);
}

#[test]
fn the_lowest_tier_is_shed_first_and_never_run() {
    let cost = submission("labels").cost_tokens();
    let mut fleet = saturated(2 * cost);
    let ticket = fleet.ticket("r1");
    let routine = CallSubmission { ticket: Some(ticket.clone()), ..submission("labels") };
    let shed = fleet.submit("r1", routine.clone());
    fleet.submit("r1", submission("patches"));
    fleet.submit("r1", submission("patches"));
    let overload = CallOutcome::NotRun(NotRunReason::Overload);
    assert_eq!(fleet.outcome("r1", shed), Some(overload));
    let again = fleet.submit("r1", routine);
    let spent = CallOutcome::NotRun(NotRunReason::TicketSpent);
    fleet.advance(Duration::from_secs(11));
    assert!(
        [Some(overload), Some(spent)].contains(&fleet.outcome("r1", again)),
        "never run under this ticket"
    );
    assert_eq!(fleet.dispatches(&ticket.key), 0);
}

#[test]
fn a_request_past_its_deadline_is_not_run() {
    let mut fleet = saturated(1_000);
    let short_deadline =
        CallSubmission { deadline: Some(Duration::from_millis(50)), ..submission("patches") };
    let caller = fleet.submit("r1", short_deadline);
    fleet.advance(Duration::from_millis(100));
    let late = CallOutcome::NotRun(NotRunReason::Deadline);
    assert_eq!(fleet.outcome("r1", caller), Some(late));
}

#[test]
fn a_refused_connection_moves_the_request_to_another_target() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let order = fleet.cores.get_mut("r1").expect("runs").dispatched.remove(0);
    let (key, refused) = (order.permit.key().clone(), order.target.clone());
    fleet.report("r1", &key, TargetEvent::NotStarted(Box::new(order)));
    let again = &fleet.cores["r1"].dispatched[0];
    assert_ne!(again.target, refused);
    fleet.answer("r1", &key);
    assert!(fleet.has_whole_answer("r1", caller));
}

#[test]
fn a_request_refused_by_every_target_is_not_run() {
    let mut fleet = SimFleet::new(1);
    let short_deadline =
        CallSubmission { deadline: Some(Duration::from_millis(300)), ..submission("patches") };
    let caller = fleet.submit("r1", short_deadline);
    for _ in 0..2 {
        let order = fleet.cores.get_mut("r1").expect("runs").dispatched.pop().expect("placed");
        let key = order.permit.key().clone();
        fleet.report("r1", &key, TargetEvent::NotStarted(Box::new(order)));
    }
    fleet.advance(Duration::from_millis(400));
    let not_run = CallOutcome::NotRun(NotRunReason::NoTarget);
    assert_eq!(fleet.outcome("r1", caller), Some(not_run));
}

#[test]
fn a_broken_stream_is_resumed_at_its_target_and_never_sent_elsewhere() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let order = &fleet.cores["r1"].dispatched[0];
    let (key, target) = (order.permit.key().clone(), order.target.clone());
    fleet.send_part("r1", &key, 0, b"the ");
    fleet.report("r1", &key, TargetEvent::Cut);
    fleet.advance(Duration::from_millis(100));
    let resumed = &fleet.cores["r1"].resumed[0];
    assert_eq!((&resumed.target, resumed.offset), (&target, 4));
    fleet.send_part("r1", &key, 4, &ANSWER[4..]);
    fleet.report("r1", &key, TargetEvent::End { length: ANSWER.len() as u64 });
    assert!(fleet.has_whole_answer("r1", caller));
    assert_eq!(fleet.dispatches(&key), 1);
}

#[test]
fn an_unreachable_target_makes_the_outcome_unknown() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    for _ in 0..6 {
        fleet.report("r1", &key, TargetEvent::Cut);
        fleet.advance(Duration::from_secs(1));
    }
    let unknown = CallOutcome::Unknown(UnknownReason::TargetFailed);
    assert_eq!(fleet.outcome("r1", caller), Some(unknown));
    assert_eq!(fleet.dispatches(&key), 1, "never sent to another target");
}

#[test]
fn a_broken_stream_of_a_plain_service_is_unknown_immediately() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("bookings"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    fleet.report("r1", &key, TargetEvent::Cut);
    let unknown = CallOutcome::Unknown(UnknownReason::TargetFailed);
    assert_eq!(fleet.outcome("r1", caller), Some(unknown));
}

#[test]
fn an_end_with_the_wrong_length_is_a_broken_stream() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    fleet.send_part("r1", &key, 0, b"the ");
    fleet.report("r1", &key, TargetEvent::End { length: ANSWER.len() as u64 });
    assert!(!fleet.received("r1", caller).1, "no end is sent to the caller");
    assert!(fleet.has_event("r1", |kind| matches!(kind, EventKind::Cut { .. })));
}

#[test]
fn an_answer_without_readers_is_cancelled_after_the_grace_period() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    fleet.input("r1", TrafficInput::CallerDisconnected { caller });
    fleet.advance(Duration::from_secs(29));
    assert!(fleet.cores["r1"].cancelled.is_empty(), "a resend may still come");
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.cores["r1"].cancelled, [key]);
    assert_eq!(fleet.cores["r1"].core.running_count(), 0);
}

#[test]
fn a_non_idempotent_request_runs_on_without_readers() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.tickets("r1", 1, true).expect("r2 is in another domain").remove(0);
    let request = CallSubmission {
        ticket: Some(ticket.clone()),
        non_idempotent: true,
        ..submission("patches")
    };
    let caller = fleet.submit("r1", request);
    fleet.input("r1", TrafficInput::CallerDisconnected { caller });
    fleet.advance(Duration::from_secs(40));
    assert!(fleet.cores["r1"].cancelled.is_empty());
    assert_eq!(fleet.cores["r1"].core.running_count(), 1);
}

#[test]
fn a_leaving_target_gets_no_new_requests() {
    let mut fleet = SimFleet::new(1);
    fleet.fleet.leaving.insert(kwg_model::TargetName::new("e1").expect("valid"));
    fleet.publish();
    for _ in 0..20 {
        fleet.submit("r1", submission("patches"));
    }
    let orders = &fleet.cores["r1"].dispatched;
    assert!(!orders.is_empty() && orders.iter().all(|order| order.target.as_str() == "e2"));
}

#[test]
fn records_are_removed_after_their_retention() {
    let mut fleet = SimFleet::new(1);
    for _ in 0..50 {
        fleet.submit("r1", submission("patches"));
        let key = fleet.cores["r1"].dispatched.last().expect("placed").permit.key().clone();
        fleet.answer("r1", &key);
    }
    assert_eq!(fleet.cores["r1"].core.record_count(), 100, "a claim and an answer each");
    fleet.now = fleet.now + Duration::from_secs(61);
    fleet.input("r1", TrafficInput::Tick);
    assert_eq!(fleet.cores["r1"].core.record_count(), 50, "answers expire first");
    fleet.now = fleet.now + Duration::from_secs(900);
    fleet.input("r1", TrafficInput::Tick);
    assert_eq!(fleet.cores["r1"].core.record_count(), 0);
}

#[test]
fn a_ticketed_request_at_a_draining_router_is_not_run() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r2");
    // A request is still running, so the shutdown has not completed.
    fleet.submit("r1", submission("patches"));
    fleet.input("r1", TrafficInput::Drain);
    let request = CallSubmission { ticket: Some(ticket.clone()), ..submission("patches") };
    let caller = fleet.submit("r1", request);
    let draining = CallOutcome::NotRun(NotRunReason::Draining);
    assert_eq!(fleet.outcome("r1", caller), Some(draining));
    assert_eq!(fleet.dispatches(&ticket.key), 0);
}

#[test]
fn a_ticket_past_ledger_retention_is_unknown_and_an_expired_one_is_not_run() {
    let mut fleet = SimFleet::new(1);
    let (expired, forgotten) = (fleet.ticket("r1"), fleet.ticket("r1"));
    let with = |ticket: &kwg_model::DispatchTicket| CallSubmission {
        ticket: Some(ticket.clone()),
        ..submission("patches")
    };
    fleet.now = fleet.now + Duration::from_secs(601);
    let caller = fleet.submit("r1", with(&expired));
    let spent = CallOutcome::NotRun(NotRunReason::TicketSpent);
    assert_eq!(fleet.outcome("r1", caller), Some(spent));
    fleet.now = fleet.now + Duration::from_secs(301);
    let caller = fleet.submit("r1", with(&forgotten));
    let unknown = CallOutcome::Unknown(UnknownReason::AnswerExpired);
    assert_eq!(fleet.outcome("r1", caller), Some(unknown));
    assert!(fleet.cores["r1"].dispatched.is_empty());
}

#[test]
fn a_request_known_to_crash_targets_is_not_run() {
    let mut fleet = SimFleet::new(1);
    let request = submission("patches");
    fleet.fleet.poison.insert(request.fingerprint());
    fleet.publish();
    let caller = fleet.submit("r1", request);
    let poisoned = CallOutcome::NotRun(NotRunReason::Poisoned);
    assert_eq!(fleet.outcome("r1", caller), Some(poisoned));
    let other = CallSubmission { body: b"another".as_slice().into(), ..submission("patches") };
    fleet.submit("r1", other);
    assert_eq!(fleet.cores["r1"].dispatched.len(), 1, "other requests are not refused");
}

#[test]
fn a_failed_target_is_reported_with_the_request_fingerprint() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    fleet.report("r1", &key, TargetEvent::Failed);
    let unknown = CallOutcome::Unknown(UnknownReason::TargetFailed);
    assert_eq!(fleet.outcome("r1", caller), Some(unknown));
    assert_eq!(fleet.cores["r1"].crashes, [submission("patches").fingerprint()]);
}
