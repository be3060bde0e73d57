//! A ticket is dispatched at most once, whatever messages are repeated and whichever routers fail.

mod support;

use std::time::Duration;

use kwg_flow::{CallRejection, CallerReply, TargetEvent, TrafficInput, TrafficOptions};
use kwg_model::{CallOutcome, CallSubmission, DispatchTicket, NotRunReason, UnknownReason};
use support::{ANSWER, SimFleet, submission};

fn with_ticket(ticket: &DispatchTicket) -> CallSubmission {
    CallSubmission { ticket: Some(ticket.clone()), ..submission("patches") }
}

#[test]
fn a_request_is_dispatched_and_answered_whole() {
    let mut fleet = SimFleet::new(1);
    let caller = fleet.submit("r1", submission("patches"));
    let key = fleet.cores["r1"].dispatched[0].permit.key().clone();
    assert!(fleet.token("r1", caller).is_some(), "the head is sent with the dispatch");
    fleet.answer("r1", &key);
    assert!(fleet.has_whole_answer("r1", caller));
}

#[test]
fn a_resend_joins_the_running_answer_and_then_the_finished_one() {
    let mut fleet = SimFleet::new(1);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit("r1", with_ticket(&ticket));
    fleet.send_part("r1", &ticket.key, 0, b"the ");
    let second = fleet.submit("r1", with_ticket(&ticket));
    fleet.answer("r1", &ticket.key);
    let third = fleet.submit("r1", with_ticket(&ticket));
    for caller in [first, second, third] {
        assert!(fleet.has_whole_answer("r1", caller));
    }
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

#[test]
fn a_resend_to_another_router_joins_wherever_the_answer_runs() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit("r2", with_ticket(&ticket));
    fleet.send_part("r2", &ticket.key, 0, b"the ");
    let second = fleet.submit("r3", with_ticket(&ticket));
    fleet.answer("r2", &ticket.key);
    assert!(fleet.has_whole_answer("r2", first));
    assert!(fleet.has_whole_answer("r3", second));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

#[test]
fn two_routers_that_race_for_a_ticket_dispatch_once() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit_only("r2", with_ticket(&ticket));
    let second = fleet.submit_only("r3", with_ticket(&ticket));
    fleet.deliver();
    assert_eq!(fleet.dispatches(&ticket.key), 1);
    let holder = if fleet.cores["r2"].dispatched.is_empty() { "r3" } else { "r2" };
    fleet.answer(holder, &ticket.key);
    assert!(fleet.has_whole_answer("r2", first) && fleet.has_whole_answer("r3", second));
}

#[test]
fn a_lost_grant_is_resent_and_dispatches_once() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    fleet.submit_only("r2", with_ticket(&ticket));
    fleet.partitioned.insert("r1".to_owned());
    fleet.deliver();
    fleet.advance(Duration::from_millis(300));
    assert_eq!(fleet.dispatches(&ticket.key), 0);
    fleet.partitioned.clear();
    fleet.advance(Duration::from_millis(300));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

#[test]
fn the_answer_of_a_failed_router_is_resumed_from_its_target() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit("r2", with_ticket(&ticket));
    fleet.send_part("r2", &ticket.key, 0, b"the ");
    let token = fleet.token("r2", first);
    fleet.kill_and_evict("r2");
    let resend = CallSubmission { resume: token, offset: 4, ..with_ticket(&ticket) };
    let second = fleet.submit("r3", resend);
    assert_eq!(fleet.cores["r3"].resumed.len(), 1);
    fleet.answer("r3", &ticket.key);
    assert_eq!(fleet.received("r3", second), (ANSWER[4..].to_vec(), true));
    assert_eq!(fleet.dispatches(&ticket.key), 0, "resuming dispatches nothing");
}

#[test]
fn without_a_token_a_bounded_number_of_targets_is_queried() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.kill_and_evict("r2");
    let caller = fleet.submit("r3", with_ticket(&ticket));
    assert_eq!(fleet.cores["r3"].resumed.len(), 1);
    fleet.report("r3", &ticket.key, TargetEvent::Missing);
    assert_eq!(fleet.cores["r3"].resumed.len(), 2, "the other target of the pool is asked");
    fleet.answer("r3", &ticket.key);
    assert!(fleet.has_whole_answer("r3", caller));
}

#[test]
fn a_stream_that_no_target_holds_is_unknown() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.kill_and_evict("r2");
    let caller = fleet.submit("r3", with_ticket(&ticket));
    fleet.report("r3", &ticket.key, TargetEvent::Missing);
    fleet.report("r3", &ticket.key, TargetEvent::Missing);
    let unknown = CallOutcome::Unknown(UnknownReason::HomeEnded);
    assert_eq!(fleet.outcome("r3", caller), Some(unknown));
}

#[test]
fn a_joined_answer_survives_the_failure_of_the_router_that_runs_it() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    let caller = fleet.submit("r3", with_ticket(&ticket));
    fleet.send_part("r2", &ticket.key, 0, b"the ");
    fleet.kill_and_evict("r2");
    assert_eq!(fleet.cores["r3"].resumed.len(), 1, "located by the token of the joined answer");
    fleet.send_part("r3", &ticket.key, 4, &ANSWER[4..]);
    fleet.report("r3", &ticket.key, TargetEvent::End { length: ANSWER.len() as u64 });
    assert!(fleet.has_whole_answer("r3", caller));
}

#[test]
fn a_resend_runs_a_request_that_was_queued_at_a_failed_router() {
    let mut fleet = SimFleet::with_options(3, 1, TrafficOptions::default());
    // Both targets are at their limit, so further requests are queued.
    fleet.submit("r2", submission("patches"));
    fleet.submit("r2", submission("patches"));
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.kill_and_evict("r2");
    fleet.submit("r3", with_ticket(&ticket));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

/// Regression test: routers whose snapshot still contained the previous incarnation took the new
/// one for ended, so its tickets ended with an unknown outcome. Found by killing router processes.
#[test]
fn claims_are_sent_to_an_incarnation_newer_than_the_snapshot() {
    let mut fleet = SimFleet::new(2);
    fleet.kill("r1");
    let before = fleet.fleet.clone();
    fleet.add("r1", 2, TrafficOptions::default());
    fleet.fleet = before;
    fleet.publish();
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

#[test]
fn tickets_of_an_ended_incarnation_end_unknown_immediately() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    fleet.kill("r1");
    fleet.add("r1", 2, TrafficOptions::default());
    fleet.publish();
    let caller = fleet.submit("r2", with_ticket(&ticket));
    fleet.report("r2", &ticket.key, TargetEvent::Missing);
    fleet.report("r2", &ticket.key, TargetEvent::Missing);
    let unknown = CallOutcome::Unknown(UnknownReason::HomeEnded);
    assert_eq!(fleet.outcome("r2", caller), Some(unknown));
    let again = fleet.submit("r1", with_ticket(&ticket));
    assert!(
        fleet.token("r1", again).is_none(),
        "the new incarnation does not accept it as its own"
    );
}

#[test]
fn an_unanswered_claim_ends_unknown_and_is_never_dispatched_late() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    let caller = fleet.submit_only("r2", with_ticket(&ticket));
    let claim = fleet.messages.pop_back().expect("a claim was sent");
    fleet.partitioned.insert("r1".to_owned());
    fleet.advance(Duration::from_secs(9));
    for _ in 0..2 {
        fleet.report("r2", &ticket.key, TargetEvent::Missing);
    }
    assert!(matches!(fleet.outcome("r2", caller), Some(CallOutcome::Unknown(_))));
    // The delayed claim arrives, and its grant is returned.
    fleet.partitioned.clear();
    fleet.messages.push_back(claim);
    fleet.deliver();
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.dispatches(&ticket.key), 0, "a grant after the end is ignored");
}

#[test]
fn a_claim_revoked_by_its_home_ends_as_not_run() {
    let options =
        TrafficOptions { claim_timeout: Duration::from_millis(100), ..TrafficOptions::default() };
    let mut fleet = SimFleet::with_options(2, 1_000, options);
    let ticket = fleet.ticket("r1");
    let caller = fleet.submit_only("r2", with_ticket(&ticket));
    fleet.messages.clear();
    fleet.partitioned.insert("r1".to_owned());
    fleet.advance(Duration::from_millis(240));
    fleet.partitioned.clear();
    fleet.advance(Duration::from_millis(600));
    let not_run = CallOutcome::NotRun(NotRunReason::ClaimTimeout);
    assert_eq!(fleet.outcome("r2", caller), Some(not_run));
    let again = fleet.submit("r1", with_ticket(&ticket));
    let spent = CallOutcome::NotRun(NotRunReason::TicketSpent);
    assert_eq!(fleet.outcome("r1", again), Some(spent), "the ticket stays revoked");
    assert_eq!(fleet.dispatches(&ticket.key), 0);
}

#[test]
fn the_ticket_of_a_non_idempotent_request_is_minted_in_another_domain() {
    let mut fleet = SimFleet::new(2);
    let tickets = fleet.tickets("r1", 3, true).expect("r2 is in another domain");
    assert!(tickets.iter().all(|ticket| ticket.key.home.instance.as_str() == "r2"));
    fleet.kill_and_evict("r2");
    assert_eq!(fleet.tickets("r1", 1, true), None);
}

#[test]
fn a_non_idempotent_request_without_a_ticket_is_rejected() {
    let mut fleet = SimFleet::new(2);
    let request = CallSubmission { non_idempotent: true, ..submission("bookings") };
    let caller = fleet.submit("r1", request);
    let rejected = CallerReply::Rejected(CallRejection::TicketRequired);
    assert_eq!(fleet.replies("r1", caller), [rejected]);
}

#[test]
fn the_token_of_another_ticket_is_rejected() {
    let mut fleet = SimFleet::new(1);
    let (one, two) = (fleet.ticket("r1"), fleet.ticket("r1"));
    let caller = fleet.submit("r1", with_ticket(&one));
    let token = fleet.token("r1", caller);
    let caller = fleet.submit("r1", CallSubmission { resume: token, ..with_ticket(&two) });
    let rejected = CallerReply::Rejected(CallRejection::TokenMismatch);
    assert_eq!(fleet.replies("r1", caller), [rejected]);
}

#[test]
fn each_caller_gets_the_answer_to_its_own_request() {
    let mut fleet = SimFleet::new(1);
    let (one, two) = (fleet.ticket("r1"), fleet.ticket("r1"));
    let first = fleet.submit("r1", with_ticket(&one));
    let second = fleet.submit("r1", with_ticket(&two));
    // The parts arrive late and out of order.
    fleet.send_part("r1", &two.key, 0, b"two");
    fleet.send_part("r1", &one.key, 0, b"one");
    fleet.report("r1", &two.key, TargetEvent::End { length: 3 });
    fleet.report("r1", &one.key, TargetEvent::End { length: 3 });
    assert_eq!(fleet.received("r1", first), (b"one".to_vec(), true));
    assert_eq!(fleet.received("r1", second), (b"two".to_vec(), true));
}

#[test]
fn a_join_only_request_never_dispatches() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    let join_only = CallSubmission { join_only: true, ..with_ticket(&ticket) };
    let caller = fleet.submit("r1", join_only.clone());
    let rejected = CallerReply::Rejected(CallRejection::NotHere);
    assert!(fleet.replies("r1", caller).contains(&rejected));
    assert_eq!(fleet.dispatches(&ticket.key), 0);
    fleet.submit("r1", with_ticket(&ticket));
    let reader = fleet.submit("r1", join_only);
    fleet.answer("r1", &ticket.key);
    assert!(fleet.has_whole_answer("r1", reader));
}

#[test]
fn a_graceful_shutdown_completes_running_requests_and_hands_over_the_ledger() {
    let mut fleet = SimFleet::new(3);
    let (running, open) = (fleet.ticket("r1"), fleet.ticket("r1"));
    let caller = fleet.submit("r1", with_ticket(&running));
    fleet.input("r1", TrafficInput::Drain);
    let refused = fleet.submit("r1", submission("patches"));
    let rejected = CallerReply::Rejected(CallRejection::ShuttingDown);
    assert_eq!(fleet.replies("r1", refused), [rejected]);
    assert_eq!(fleet.cores["r1"].drained, None, "the running request is not interrupted");
    fleet.answer("r1", &running.key);
    assert!(fleet.has_whole_answer("r1", caller));
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.cores["r1"].drained, Some(true));
    let successor = fleet.cores.iter().find(|(_, sim)| !sim.inherited.is_empty());
    let successor =
        successor.map(|(name, sim)| (name.clone(), sim.address.clone())).expect("a successor");
    fleet.fleet.moved.insert(open.key.home.clone(), successor.1);
    fleet.kill_and_evict("r1");
    fleet.submit("r3", with_ticket(&open));
    assert_eq!(fleet.dispatches(&open.key), 1, "the successor {} grants it", successor.0);
}

fn with_key(key: &str) -> CallSubmission {
    CallSubmission { idempotency_key: Some(key.to_owned()), ..submission("patches") }
}

#[test]
fn an_idempotency_key_maps_to_one_ticket_at_every_router() {
    let mut fleet = SimFleet::new(3);
    let first = fleet.submit("r1", with_key("order 7"));
    let second = fleet.submit("r2", with_key("order 7"));
    let key = fleet.bindings["order 7"].key.clone();
    assert_eq!(fleet.dispatches(&key), 1);
    fleet.answer("r1", &key);
    assert!(fleet.has_whole_answer("r1", first) && fleet.has_whole_answer("r2", second));
    let all: usize = fleet.cores.values().map(|sim| sim.dispatched.len()).sum();
    assert_eq!(all, 1);
}

#[test]
fn the_key_of_a_non_idempotent_request_is_bound_to_a_ticket_of_another_domain() {
    let mut fleet = SimFleet::new(2);
    let request = CallSubmission { non_idempotent: true, ..with_key("booking 7") };
    fleet.submit("r1", request);
    fleet.deliver();
    assert_eq!(fleet.bindings["booking 7"].key.home.instance.as_str(), "r2");
    assert_eq!(fleet.cores["r1"].dispatched.len(), 1);
}

#[test]
fn in_a_store_outage_keyed_requests_are_rejected_and_ticketed_ones_are_not() {
    let mut fleet = SimFleet::new(2);
    fleet.store_is_down = true;
    let caller = fleet.submit("r1", with_key("order 7"));
    let rejected = CallerReply::Rejected(CallRejection::StoreOutage);
    assert_eq!(fleet.replies("r1", caller), [rejected]);
    let ticket = fleet.ticket("r1");
    fleet.submit("r1", with_ticket(&ticket));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}
