use std::cell::Cell;
use std::rc::Rc;

use futures_lite::FutureExt;
use kwg_gate::{AttemptEvidence, Dispatched, GateSession, HandingOver, RequestKind, TargetKey};
use kwg_h1::ReplyHead;
use kwg_telemetry::EventLine;

use super::answer_relay::AnswerRelay;
use super::counted_body::CountedBody;
use super::event_splitter::EventSplitter;
use super::suspect_fields::SuspectFields;
use super::target_exchange::TargetExchange;
use super::traffic_state::TrafficState;

/// Sends the request of a silent target to a second one, reads on at both, and decides at which one the
/// request goes on.
#[derive(Debug)]
pub(crate) struct AttemptHandOver<'a> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) session: GateSession<HandingOver>,
}

/// What ends a hand-over.
enum HandOverEnd {
    /// The first target has shown what the caller needs.
    FirstProved,
    /// The attempt at the first target has ended without an answer.
    FirstEnded(AttemptEvidence),
    /// The second target has shown what the caller needs.
    SecondProved,
    /// The attempt at the second target has ended without an answer, or has taken too long.
    SecondEnded(AttemptEvidence),
}

impl<'a> AttemptHandOver<'a> {
    /// Runs the hand-over to its end; returns the exchange that goes on. If the first target has failed,
    /// its reply is left in `failure`.
    pub(crate) async fn run(
        self,
        mut first: TargetExchange<'a>,
        mut second: TargetExchange<'a>,
        relay: &mut AnswerRelay<'_>,
        failure: &mut Option<(ReplyHead, CountedBody)>,
    ) -> (GateSession<Dispatched>, TargetExchange<'a>) {
        self.log("begun", AttemptEvidence::Silent.as_str());
        let (reason, evidence) = match self.read_both(&mut first, &mut second, relay).await {
            HandOverEnd::FirstProved => ("first-answers", AttemptEvidence::Withdrawn),
            HandOverEnd::SecondEnded(evidence) => (evidence.as_str(), evidence),
            HandOverEnd::SecondProved => {
                return self.complete(first, second, "answer", AttemptEvidence::Silent, relay);
            }
            HandOverEnd::FirstEnded(evidence) => {
                if evidence == AttemptEvidence::TargetFailure {
                    *failure = first.take_failure();
                }
                return self.complete(first, second, "first-ended", evidence, relay);
            }
        };
        self.log("given-up", reason);
        self.log_end(second.target(), 2, evidence);
        drop(second);
        let now = self.state.clock.now();
        (self.session.give_up(&mut self.state.core.borrow_mut(), evidence, now), first)
    }

    /// Reads at both targets until one of them has shown what the caller needs or has ended, or until
    /// the time for the second one is over.
    async fn read_both(
        &self,
        first: &mut TargetExchange<'a>,
        second: &mut TargetExchange<'a>,
        relay: &AnswerRelay<'_>,
    ) -> HandOverEnd {
        let clock = &self.state.clock;
        let limit = self.session.hand_over_limit(clock.now());
        let is_stream = matches!(self.session.kind(), RequestKind::Stream { .. });
        // Whether the first target has sent the head of a failure; its run is over, also if the body
        // stalls, and it is not one that was only silent.
        let has_failed = Cell::new(false);
        let first = async {
            match first.read_proof(is_stream, relay.splitter()).await {
                Ok(()) => HandOverEnd::FirstProved,
                // Its failure reply is for the caller if the second target has no answer.
                Err(AttemptEvidence::TargetFailure) => {
                    has_failed.set(true);
                    match first.read_whole().await {
                        Ok(()) => HandOverEnd::FirstEnded(AttemptEvidence::TargetFailure),
                        Err(evidence) => HandOverEnd::FirstEnded(evidence),
                    }
                }
                Err(evidence) => HandOverEnd::FirstEnded(evidence),
            }
        };
        let second = async {
            match second.read_proof(is_stream, &EventSplitter::default()).await {
                Ok(()) if has_failed.get() => HandOverEnd::FirstEnded(AttemptEvidence::BadAnswer),
                Ok(()) => HandOverEnd::SecondProved,
                Err(evidence) => HandOverEnd::SecondEnded(evidence),
            }
        };
        let timeout = async {
            clock.sleep_until(limit).await;
            match has_failed.get() {
                true => HandOverEnd::FirstEnded(AttemptEvidence::BadAnswer),
                false => HandOverEnd::SecondEnded(AttemptEvidence::Withdrawn),
            }
        };
        first.or(second).or(timeout).await
    }

    /// Ends the attempt at the first target; the request goes on at the second one.
    fn complete(
        self,
        first: TargetExchange<'a>,
        second: TargetExchange<'a>,
        reason: &str,
        evidence: AttemptEvidence,
        relay: &mut AnswerRelay<'_>,
    ) -> (GateSession<Dispatched>, TargetExchange<'a>) {
        self.log("completed", reason);
        self.log_end(first.target(), 1, evidence);
        drop(first);
        relay.drop_incomplete();
        let now = self.state.clock.now();
        (self.session.complete(&mut self.state.core.borrow_mut(), evidence, now), second)
    }

    fn log(&self, phase: &str, reason: &str) {
        let core = self.state.core.borrow();
        let name = |target| core.targets().entry(target).map_or("gone", |entry| entry.id.as_str());
        let line = EventLine::new("hand-over")
            .field("id", &self.session.details().id)
            .field("phase", phase)
            .field("reason", reason)
            .field("from", name(self.session.first().target))
            .field("to", name(self.session.second().target));
        log::info!("{line}");
    }

    /// Logs and counts the end of one of the two attempts, the `number`-th of them.
    fn log_end(&self, target: TargetKey, number: usize, evidence: AttemptEvidence) {
        let total = self.state.clock.now().since(self.session.details().arrived);
        let core = self.state.core.borrow();
        let entry = core.targets().entry(target);
        let line = EventLine::new("attempt-ended")
            .field("id", &self.session.details().id)
            .field("outcome", evidence.as_str())
            .field("route", self.session.route())
            .field("kind", self.session.kind().as_str())
            .field("target", entry.map_or("gone", |entry| entry.id.as_str()))
            .field("attempt", self.session.tried().len() + number)
            .field("total_ms", total.as_millis());
        let has_begun = number == 1 && self.session.has_begun();
        log::info!("{}", SuspectFields::add(line, self.session.details(), has_begun));
        self.state.metrics.record_attempt(evidence.as_str(), total);
    }
}
