//! One dispatch for a ticket, whatever is sent again, whoever dies.

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
    let key = fleet.cores["r1"].dispatched[0].right.key().clone();
    assert!(fleet.token("r1", caller).is_some(), "the head comes with the dispatch");
    fleet.answer("r1", &key);
    assert!(fleet.has_whole_answer("r1", caller));
}

#[test]
fn a_resend_joins_the_running_answer_and_then_the_finished_one() {
    let mut fleet = SimFleet::new(1);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit("r1", with_ticket(&ticket));
    fleet.part("r1", &ticket.key, 0, b"the ");
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
    fleet.part("r2", &ticket.key, 0, b"the ");
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
fn a_lost_grant_is_given_again_and_counts_once() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    fleet.submit_only("r2", with_ticket(&ticket));
    fleet.cut_off.insert("r1".to_owned());
    fleet.deliver();
    fleet.pass(Duration::from_millis(300));
    assert_eq!(fleet.dispatches(&ticket.key), 0);
    fleet.cut_off.clear();
    fleet.pass(Duration::from_millis(300));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

#[test]
fn the_answer_of_a_dead_router_is_resumed_from_its_target() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    let first = fleet.submit("r2", with_ticket(&ticket));
    fleet.part("r2", &ticket.key, 0, b"the ");
    let token = fleet.token("r2", first);
    fleet.bury("r2");
    let resend = CallSubmission { resume: token, offset: 4, ..with_ticket(&ticket) };
    let second = fleet.submit("r3", resend);
    assert_eq!(fleet.cores["r3"].resumed.len(), 1);
    fleet.answer("r3", &ticket.key);
    assert_eq!(fleet.text("r3", second), (ANSWER[4..].to_vec(), true));
    assert_eq!(fleet.dispatches(&ticket.key), 0, "resuming dispatches nothing");
}

#[test]
fn without_a_token_a_bounded_number_of_targets_is_asked() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.bury("r2");
    let caller = fleet.submit("r3", with_ticket(&ticket));
    assert_eq!(fleet.cores["r3"].resumed.len(), 1);
    fleet.target("r3", &ticket.key, TargetEvent::Missing);
    assert_eq!(fleet.cores["r3"].resumed.len(), 2, "the other target of the pool is asked");
    fleet.answer("r3", &ticket.key);
    assert!(fleet.has_whole_answer("r3", caller));
}

#[test]
fn a_stream_that_no_target_holds_is_unknown() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.bury("r2");
    let caller = fleet.submit("r3", with_ticket(&ticket));
    fleet.target("r3", &ticket.key, TargetEvent::Missing);
    fleet.target("r3", &ticket.key, TargetEvent::Missing);
    let unknown = CallOutcome::Unknown(UnknownReason::HomeGone);
    assert_eq!(fleet.outcome("r3", caller), Some(unknown));
}

#[test]
fn a_joined_answer_survives_the_death_of_its_router() {
    let mut fleet = SimFleet::new(3);
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    let caller = fleet.submit("r3", with_ticket(&ticket));
    fleet.part("r2", &ticket.key, 0, b"the ");
    fleet.bury("r2");
    assert_eq!(fleet.cores["r3"].resumed.len(), 1, "found by the token of the joined answer");
    fleet.part("r3", &ticket.key, 4, &ANSWER[4..]);
    fleet.target("r3", &ticket.key, TargetEvent::End { length: ANSWER.len() as u64 });
    assert!(fleet.has_whole_answer("r3", caller));
}

#[test]
fn a_queued_request_of_a_dead_router_is_open_and_a_resend_runs_it() {
    let mut fleet = SimFleet::with_options(3, 1, TrafficOptions::default());
    // The targets are full: everything else waits.
    fleet.submit("r2", submission("patches"));
    fleet.submit("r2", submission("patches"));
    let ticket = fleet.ticket("r1");
    fleet.submit("r2", with_ticket(&ticket));
    fleet.bury("r2");
    fleet.submit("r3", with_ticket(&ticket));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}

/// Found by the kills over processes: the tickets of a restarted router ended unknown, because
/// others took its new run for the ended one.
#[test]
fn the_tickets_of_a_run_that_is_news_are_asked_for() {
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
fn the_tickets_of_an_ended_run_are_unknown_at_once() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    fleet.kill("r1");
    fleet.add("r1", 2, TrafficOptions::default());
    fleet.publish();
    let caller = fleet.submit("r2", with_ticket(&ticket));
    fleet.target("r2", &ticket.key, TargetEvent::Missing);
    fleet.target("r2", &ticket.key, TargetEvent::Missing);
    let unknown = CallOutcome::Unknown(UnknownReason::HomeGone);
    assert_eq!(fleet.outcome("r2", caller), Some(unknown));
    let again = fleet.submit("r1", with_ticket(&ticket));
    assert!(fleet.token("r1", again).is_none(), "the new run does not take it for its own");
}

#[test]
fn a_claim_that_nobody_answers_ends_unknown_and_is_never_dispatched_late() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    let caller = fleet.submit_only("r2", with_ticket(&ticket));
    let claim = fleet.messages.pop_back().expect("a claim is on its way");
    fleet.cut_off.insert("r1".to_owned());
    fleet.pass(Duration::from_secs(9));
    for _ in 0..2 {
        fleet.target("r2", &ticket.key, TargetEvent::Missing);
    }
    assert!(matches!(fleet.outcome("r2", caller), Some(CallOutcome::Unknown(_))));
    // The claim arrives after all, and its grant comes back.
    fleet.cut_off.clear();
    fleet.messages.push_back(claim);
    fleet.deliver();
    fleet.pass(Duration::from_secs(1));
    assert_eq!(fleet.dispatches(&ticket.key), 0, "a grant after the end is void");
}

#[test]
fn a_home_that_answers_the_burning_makes_it_not_run() {
    let options =
        TrafficOptions { claim_timeout: Duration::from_millis(100), ..TrafficOptions::default() };
    let mut fleet = SimFleet::with_options(2, 1_000, options);
    let ticket = fleet.ticket("r1");
    let caller = fleet.submit_only("r2", with_ticket(&ticket));
    fleet.messages.clear();
    fleet.cut_off.insert("r1".to_owned());
    fleet.pass(Duration::from_millis(240));
    fleet.cut_off.clear();
    fleet.pass(Duration::from_millis(600));
    let not_run = CallOutcome::NotRun(NotRunReason::ClaimTimeout);
    assert_eq!(fleet.outcome("r2", caller), Some(not_run));
    let again = fleet.submit("r1", with_ticket(&ticket));
    let spent = CallOutcome::NotRun(NotRunReason::TicketSpent);
    assert_eq!(fleet.outcome("r1", again), Some(spent), "not run stays true for ever");
    assert_eq!(fleet.dispatches(&ticket.key), 0);
}

#[test]
fn the_ticket_of_a_non_idempotent_request_is_minted_in_another_domain() {
    let mut fleet = SimFleet::new(2);
    let tickets = fleet.tickets("r1", 3, true).expect("r2 is elsewhere");
    assert!(tickets.iter().all(|ticket| ticket.key.home.instance.as_str() == "r2"));
    fleet.bury("r2");
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
    // Late and out of order.
    fleet.part("r1", &two.key, 0, b"two");
    fleet.part("r1", &one.key, 0, b"one");
    fleet.target("r1", &two.key, TargetEvent::End { length: 3 });
    fleet.target("r1", &one.key, TargetEvent::End { length: 3 });
    assert_eq!(fleet.text("r1", first), (b"one".to_vec(), true));
    assert_eq!(fleet.text("r1", second), (b"two".to_vec(), true));
}

#[test]
fn reading_only_runs_nothing() {
    let mut fleet = SimFleet::new(2);
    let ticket = fleet.ticket("r1");
    let reading = CallSubmission { join_only: true, ..with_ticket(&ticket) };
    let caller = fleet.submit("r1", reading.clone());
    let rejected = CallerReply::Rejected(CallRejection::NotHere);
    assert!(fleet.replies("r1", caller).contains(&rejected));
    assert_eq!(fleet.dispatches(&ticket.key), 0);
    fleet.submit("r1", with_ticket(&ticket));
    let reader = fleet.submit("r1", reading);
    fleet.answer("r1", &ticket.key);
    assert!(fleet.has_whole_answer("r1", reader));
}

#[test]
fn a_graceful_shutdown_ends_what_runs_and_hands_the_tickets_over() {
    let mut fleet = SimFleet::new(3);
    let (running, open) = (fleet.ticket("r1"), fleet.ticket("r1"));
    let caller = fleet.submit("r1", with_ticket(&running));
    fleet.input("r1", TrafficInput::Drain);
    let refused = fleet.submit("r1", submission("patches"));
    let rejected = CallerReply::Rejected(CallRejection::ShuttingDown);
    assert_eq!(fleet.replies("r1", refused), [rejected]);
    assert_eq!(fleet.cores["r1"].drained, None, "the running request is not cut off");
    fleet.answer("r1", &running.key);
    assert!(fleet.has_whole_answer("r1", caller));
    fleet.pass(Duration::from_millis(100));
    assert_eq!(fleet.cores["r1"].drained, Some(true));
    let heir = fleet.cores.iter().find(|(_, sim)| !sim.inherited.is_empty());
    let heir = heir.map(|(name, sim)| (name.clone(), sim.address.clone())).expect("an heir");
    fleet.fleet.moved.insert(open.key.home.clone(), heir.1);
    fleet.bury("r1");
    fleet.submit("r3", with_ticket(&open));
    assert_eq!(fleet.dispatches(&open.key), 1, "the heir {} grants it", heir.0);
}

fn with_key(key: &str) -> CallSubmission {
    CallSubmission { idempotency_key: Some(key.to_owned()), ..submission("patches") }
}

#[test]
fn a_key_is_a_name_for_one_ticket_at_every_router() {
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
fn in_an_outage_a_keyed_request_is_rejected_and_one_with_a_ticket_is_not() {
    let mut fleet = SimFleet::new(2);
    fleet.store_is_down = true;
    let caller = fleet.submit("r1", with_key("order 7"));
    let rejected = CallerReply::Rejected(CallRejection::StoreOutage);
    assert_eq!(fleet.replies("r1", caller), [rejected]);
    let ticket = fleet.ticket("r1");
    fleet.submit("r1", with_ticket(&ticket));
    assert_eq!(fleet.dispatches(&ticket.key), 1);
}
