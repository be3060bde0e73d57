use std::rc::Rc;

use futures_lite::FutureExt;
use kwg_gate::{
    Admitted, AttemptEvidence, AttemptSample, Dispatched, FinalOutcome, GateSession, Placed,
    PlacementOutcome, Received, RequestDetails, SessionStep, UnknownReason,
};
use kwg_h1::{ReplyHead, RequestHead};
use kwg_telemetry::EventLine;
use rand::random;

use super::abandon_guard::AbandonGuard;
use super::answer_relay::AnswerRelay;
use super::attempt_report::AttemptReport;
use super::content_hash::{ContentCaller, ContentHash};
use super::counted_body::CountedBody;
use super::suspect_fields::SuspectFields;
use super::target_attempt::TargetAttempt;
use super::traffic_state::TrafficState;
use super::wait_notifier::WaitNotifier;

/// Processes one request: admits it, waits for a slot, dispatches it and relays the answer.
#[derive(Debug)]
pub(crate) struct RequestPipeline<'a> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a [u8],
}

/// How a request ended, as far as it decides whether the caller's connection can be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PipelineEnd {
    /// The caller has a complete answer or a final outcome.
    Complete,
    /// The caller has disconnected or has an incomplete answer; the connection must be closed,
    /// which also is the only way to signal an incomplete answer.
    Broken,
}

impl RequestPipeline<'_> {
    /// Serves the request, at several targets if needed.
    pub(crate) async fn run(
        self,
        mut details: RequestDetails,
        relay: &mut AnswerRelay<'_>,
    ) -> PipelineEnd {
        details.fingerprint = self.fingerprint(&details);
        let now = self.state.clock.now();
        let session = GateSession::<Received>::new(details.clone());
        let hides_key =
            self.state.core.borrow().table().is_some_and(|table| table.accounts().next().is_some());
        let admitted = session.admit(&mut self.state.core.borrow_mut(), random(), now);
        let mut session = match admitted {
            Ok(session) => session,
            Err(outcome) => return self.send_final(outcome, &details, relay).await,
        };
        let attempt = TargetAttempt {
            state: self.state,
            request_id: &details.id,
            head: self.head,
            body: self.body,
            hides_key,
        };
        // The failure reply of a target, sent to the caller if no other attempt is answered.
        let mut failure: Option<(ReplyHead, CountedBody)> = None;
        loop {
            let dispatched = match self.allocate_slot(session).await {
                Ok(placed) => placed.dispatch(),
                Err(outcome) => {
                    return self.finish_unanswered(outcome, &details, failure, relay).await;
                }
            };
            let abandon = AbandonGuard::new(self.state, &dispatched);
            let ended = async {
                self.state.wait_end().await;
                None
            };
            let run = async { Some(attempt.run(dispatched, &abandon, relay, &mut failure).await) };
            let Some((dispatched, report)) = run.or(ended).await else {
                abandon.disarm();
                let outcome = FinalOutcome::Unknown(UnknownReason::Stopping);
                return self.finish_unanswered(outcome, &details, failure, relay).await;
            };
            match report {
                AttemptReport::CallerDisconnected => drop(abandon),
                _ => abandon.disarm(),
            }
            let now = self.state.clock.now();
            let evidence = match report {
                AttemptReport::Answered(sample) => {
                    self.log_end(&dispatched, "answered", Some(&sample));
                    dispatched.answered(&mut self.state.core.borrow_mut(), &sample, now);
                    return PipelineEnd::Complete;
                }
                AttemptReport::CallerDisconnected => {
                    self.log_end(&dispatched, "caller-gone", None);
                    return PipelineEnd::Broken;
                }
                AttemptReport::Failed(head, body) => {
                    failure = Some((head, body));
                    AttemptEvidence::TargetFailure
                }
                AttemptReport::Ended(evidence) => evidence,
            };
            relay.drop_incomplete();
            self.log_end(&dispatched, evidence.as_str(), None);
            let step = dispatched.close(&mut self.state.core.borrow_mut(), evidence, now);
            match step {
                SessionStep::Retry(again) => session = again,
                SessionStep::Ended(outcome) => {
                    return self.finish_unanswered(outcome, &details, failure, relay).await;
                }
            }
        }
    }

    /// Hash of the request's content.
    fn fingerprint(&self, details: &RequestDetails) -> u64 {
        let core = self.state.core.borrow();
        let key = details.key.as_deref();
        let account = key.and_then(|key| core.table()?.account_of(key));
        let caller = match (account, key) {
            (Some(account), _) => ContentCaller::Account(account.label.as_str()),
            (None, Some(key)) => ContentCaller::Key(key),
            (None, None) => ContentCaller::Anonymous,
        };
        ContentHash::of(&self.head.method, &details.host, &self.head.target, caller, self.body)
    }

    /// Waits for a slot at a target, until the core refuses the request.
    async fn allocate_slot(
        &self,
        session: GateSession<Admitted>,
    ) -> Result<GateSession<Placed>, FinalOutcome> {
        let mut session = session;
        loop {
            let now = self.state.clock.now();
            let placed = session.place(&mut self.state.core.borrow_mut(), random(), now);
            match placed {
                PlacementOutcome::Placed(placed) => return Ok(placed),
                PlacementOutcome::Refused(outcome) => return Err(outcome),
                PlacementOutcome::Waiting(waiting, until) => {
                    WaitNotifier::wait(self.state, &waiting, until).await;
                    session = waiting;
                }
            }
        }
    }

    /// Ends a request without an answer: sends the last failure reply of a target if there is one
    /// and nothing has been sent, else the final outcome.
    async fn finish_unanswered(
        &self,
        outcome: FinalOutcome,
        details: &RequestDetails,
        failure: Option<(ReplyHead, CountedBody)>,
        relay: &mut AnswerRelay<'_>,
    ) -> PipelineEnd {
        match failure {
            Some((head, body)) if !relay.has_begun() => {
                self.state.metrics.record_refusal("target-failure");
                match relay.send_whole(&head, body.bytes()).await {
                    Ok(()) => PipelineEnd::Complete,
                    Err(_) => PipelineEnd::Broken,
                }
            }
            _ => self.send_final(outcome, details, relay).await,
        }
    }

    /// Logs and counts a final outcome, and sends it to the caller.
    async fn send_final(
        &self,
        outcome: FinalOutcome,
        details: &RequestDetails,
        relay: &mut AnswerRelay<'_>,
    ) -> PipelineEnd {
        let (version, ends, verdict) = {
            let core = self.state.core.borrow();
            let version = core.table().map(|table| table.version());
            let verdict = core.verdict_on(details, self.state.clock.now()).cloned();
            (version, core.suspects().count(details.fingerprint), verdict)
        };
        let line = EventLine::new("request-ended")
            .field("id", &details.id)
            .field("outcome", outcome.as_str())
            .field("path", &details.path)
            .field("table", version.unwrap_or(0))
            .field("begun", relay.has_begun())
            .field("fingerprint", format_args!("{:016x}", details.fingerprint))
            .field("parts", SuspectFields::parts(details))
            .field("ends", ends);
        let line = match &verdict {
            Some(verdict) => SuspectFields::add_verdict(line, &verdict.suspects),
            None => line,
        };
        log::info!("{line}");
        self.state.metrics.record_refusal(outcome.as_str());
        match relay.send_outcome(outcome, &details.id).await {
            Ok(()) => PipelineEnd::Complete,
            Err(_) => PipelineEnd::Broken,
        }
    }

    /// Logs and counts the end of an attempt.
    fn log_end(
        &self,
        session: &GateSession<Dispatched>,
        outcome: &str,
        sample: Option<&AttemptSample>,
    ) {
        let now = self.state.clock.now();
        let (details, placement) = (session.details(), session.placement());
        let core = self.state.core.borrow();
        let target = core.targets().entry(placement.target);
        let line = EventLine::new("attempt-ended")
            .field("id", &details.id)
            .field("outcome", outcome)
            .field("route", session.route())
            .field("kind", session.kind().as_str())
            .field("target", target.map_or("gone", |entry| entry.id.as_str()))
            .field("version", target.map_or("gone", |entry| entry.version.as_str()))
            .field("attempt", session.tried().len() + 1)
            .field("table", session.table_version())
            .field("load", placement.load)
            .field("load_age_ms", placement.load_age.as_millis())
            .field("expected_ms", placement.expected.as_millis())
            .field("total_ms", now.since(details.arrived).as_millis());
        let line = match sample {
            Some(sample) => line
                .field("hold_ms", sample.hold.as_millis())
                .field("first_ms", sample.first_event.unwrap_or(sample.hold).as_millis())
                .field("pace_ms", format_args!("{:.1}", session.pace_ms(sample)))
                .field("gap_ms", sample.longest_gap.unwrap_or_default().as_millis()),
            // Equal requests of other callers and instances have the same fingerprint.
            None => SuspectFields::add(line, details, session.has_begun()),
        };
        log::info!("{line}");
        self.state.metrics.record_attempt(outcome, now.since(details.arrived));
    }
}
