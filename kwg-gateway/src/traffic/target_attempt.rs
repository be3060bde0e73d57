use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_adapter::{OutgoingCall, ReplyKind, TargetCodec};
use kwg_gate::{
    AttemptEvidence, AttemptSample, Dispatched, GateSession, RequestKind, ReservedTarget, TargetKey,
};
use kwg_h1::{ReplyHead, RequestHead};
use kwg_model::MonoTime;
use kwg_telemetry::EventLine;
use rand::random;

use super::abandon_guard::AbandonGuard;
use super::answer_relay::AnswerRelay;
use super::attempt_hand_over::AttemptHandOver;
use super::attempt_report::AttemptReport;
use super::attempt_stop::AttemptStop;
use super::counted_body::CountedBody;
use super::target_exchange::TargetExchange;
use super::target_link::TargetLink;
use super::traffic_state::TrafficState;

/// Silence after which a resumable stream is resumed at another target. Callers disconnect after
/// two seconds without an event.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// Minimum wait for the head or the body of a reply after which another target is asked as well.
const ANSWER_SILENCE: Duration = Duration::from_millis(1_200);
/// How often it is checked whether a request whose target is silent may be sent to another one.
const SILENCE_CHECK: Duration = Duration::from_millis(200);
/// Multiple of the predicted time after which a retryable request without a reply is retried
/// elsewhere.
const SILENCE_FACTOR: u32 = 4;

/// One attempt: sends the request to one target and relays the answer to the caller. If the target
/// is silent, another one may take the attempt over.
#[derive(Debug)]
pub(crate) struct TargetAttempt<'a> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) request_id: &'a str,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a [u8],
    /// Whether the caller's `authorization` header is withheld from the target, because it holds
    /// the caller's API key.
    pub(crate) hides_key: bool,
}

/// What interrupts the reading of a reply.
enum AttemptStep {
    /// The reply has been read.
    Ended(AttemptReport),
    /// The whole answer has been read, and nothing of it has been sent to the caller.
    Whole(ReplyHead, CountedBody, AttemptSample),
    /// The target is silent, and another one is reserved and connected.
    Reserved(ReservedTarget, TargetLink),
}

impl<'a> TargetAttempt<'a> {
    /// Runs the attempt to its end, or to the request's deadline. The returned session is that of
    /// the target at which the attempt ended. A target that fails before another one takes the attempt
    /// over leaves its reply in `failure`.
    pub(crate) async fn run(
        &self,
        session: GateSession<Dispatched>,
        abandon: &AbandonGuard,
        relay: &mut AnswerRelay<'_>,
        failure: &mut Option<(ReplyHead, CountedBody)>,
    ) -> (GateSession<Dispatched>, AttemptReport) {
        let mut session = session;
        let due = session.due();
        let begin = async { Ok(self.begin(&session, relay).await?) };
        let mut exchange = match begin.or(self.time_out(due)).await {
            Ok(exchange) => exchange,
            Err(stop) => return (session, stop.into()),
        };
        loop {
            let step = self.read_reply(&session, &mut exchange, relay);
            let step = step.or(self.time_out(due)).await;
            if exchange.has_begun() {
                session.mark_begun();
            }
            let (reserved, link) = match step {
                Ok(AttemptStep::Ended(report)) => {
                    exchange.finish();
                    return (session, report);
                }
                Ok(AttemptStep::Whole(head, whole, sample)) => {
                    // A caller that reads slowly takes neither the slot nor the time of the target.
                    exchange.finish();
                    let sent = match self.head.method != "HEAD" {
                        true => relay.send_whole(&head, whole.bytes()).await,
                        false => relay.send_head(&head).await,
                    };
                    let report = match sent {
                        Ok(()) => AttemptReport::Answered(sample),
                        Err(_) => AttemptReport::CallerDisconnected,
                    };
                    return (session, report);
                }
                Ok(AttemptStep::Reserved(reserved, link)) => (reserved, link),
                Err(stop) => return (session, stop.into()),
            };
            let now = self.state.clock.now();
            exchange.set_next_check(now + SILENCE_CHECK);
            let Ok(request) = self.encode(&session, &link, relay) else { continue };
            let handed = session.hand_over(&mut self.state.core.borrow_mut(), reserved, now);
            match handed {
                Ok(handing_over) => {
                    let second = TargetExchange::new(self.state, self.request_id, link, request);
                    let hand_over = AttemptHandOver { state: self.state, session: handing_over };
                    (session, exchange) = hand_over.run(exchange, second, relay, failure).await;
                    abandon.set_target(session.placement().target);
                }
                Err(unchanged) => session = unchanged,
            }
        }
    }

    async fn time_out<T>(&self, due: MonoTime) -> Result<T, AttemptStop> {
        self.state.clock.sleep_until(due).await;
        Err(AttemptEvidence::TimedOut.into())
    }

    /// Opens the exchange with the chosen target.
    async fn begin(
        &self,
        session: &GateSession<Dispatched>,
        relay: &AnswerRelay<'_>,
    ) -> Result<TargetExchange<'a>, AttemptEvidence> {
        let target = session.placement().target;
        let link = self.open_link(session, target).await?;
        let request = self.encode(session, &link, relay)?;
        Ok(TargetExchange::new(self.state, self.request_id, link, request))
    }

    async fn open_link(
        &self,
        session: &GateSession<Dispatched>,
        target: TargetKey,
    ) -> Result<TargetLink, AttemptEvidence> {
        let tokens = session.details().tokens.map_or(0, |tokens| tokens.prompt);
        let is_retryable = session.kind().is_retryable();
        TargetLink::open(self.state, target, self.request_id, tokens, is_retryable).await
    }

    fn encode(
        &self,
        session: &GateSession<Dispatched>,
        link: &TargetLink,
        relay: &AnswerRelay<'_>,
    ) -> Result<Vec<u8>, AttemptEvidence> {
        let target = link.target;
        let core = self.state.core.borrow();
        let entry = core.targets().entry(target);
        let may_send = session.may_reach(&core, target, self.state.clock.now());
        let entry = entry.filter(|_| may_send).ok_or(AttemptEvidence::NotSent)?;
        let call = OutgoingCall {
            target: &entry.id,
            account: session.account(),
            left: session.due().since(self.state.clock.now()),
            resume_after: relay.last_event(),
            hides_key: self.hides_key,
        };
        let request = TargetCodec::encode(self.head, self.body, &call).map_err(|error| {
            let line = EventLine::new("request-unwritable").field("id", self.request_id);
            log::warn!("{}", line.field("target", &entry.id).field("error", error));
            AttemptEvidence::NotSent
        })?;
        drop(core);
        link.guard.record_sent();
        Ok(request)
    }

    /// Reads the reply to its end and relays it, or until another target is reserved.
    async fn read_reply(
        &self,
        session: &GateSession<Dispatched>,
        exchange: &mut TargetExchange<'_>,
        relay: &mut AnswerRelay<'_>,
    ) -> Result<AttemptStep, AttemptStop> {
        let silence_end = exchange.silent_since() + Self::answer_silence(session);
        let reserve = self.reserve_other(session, silence_end.max(exchange.next_check()));
        let read = async { exchange.read_head().await.map(Ok) };
        let (head, kind) = match read.or(async { Ok(Err(reserve.await)) }).await? {
            Ok(started) => started,
            Err((reserved, link)) => return Ok(AttemptStep::Reserved(reserved, link)),
        };
        let has_body = self.head.method != "HEAD";
        let report = match (kind, session.kind()) {
            (ReplyKind::Answer, RequestKind::Stream { .. }) if has_body => {
                if let Some((reserved, link)) = self.relay_stream(session, exchange, relay).await? {
                    return Ok(AttemptStep::Reserved(reserved, link));
                }
                relay.finish_events(&head).await?;
                AttemptReport::Answered(exchange.sample(session.tokens_per_event()))
            }
            (ReplyKind::Answer | ReplyKind::Failure, _) => {
                // Nothing has been sent to the caller, so another target can still answer.
                let silence_end = exchange.silent_since() + Self::answer_silence(session);
                let reserve = self.reserve_other(session, silence_end.max(exchange.next_check()));
                let read = async { exchange.read_whole().await.map(|()| None) };
                let reserved = async { Ok(Some(reserve.await)) };
                if let Some((reserved, link)) = read.or(reserved).await? {
                    return Ok(AttemptStep::Reserved(reserved, link));
                }
                let whole = exchange.take_whole();
                if kind == ReplyKind::Failure {
                    return Ok(AttemptStep::Ended(AttemptReport::Failed(head, whole)));
                }
                let sample = exchange.sample(session.tokens_per_event());
                return Ok(AttemptStep::Whole(head, whole, sample));
            }
            (ReplyKind::Declined, _) => {
                exchange.skip_rest(&head).await;
                AttemptReport::Ended(AttemptEvidence::Declined)
            }
            (ReplyKind::Foreign | ReplyKind::Unusable, _) => {
                return Err(exchange.reject_kind(&head).into());
            }
        };
        Ok(AttemptStep::Ended(report))
    }

    /// Relays a stream to the caller, event by event, to its end or until another target is
    /// reserved.
    async fn relay_stream(
        &self,
        session: &GateSession<Dispatched>,
        exchange: &mut TargetExchange<'_>,
        relay: &mut AnswerRelay<'_>,
    ) -> Result<Option<(ReservedTarget, TargetLink)>, AttemptStop> {
        let mut has_begun = exchange.has_begun();
        loop {
            let silence_end = exchange.silent_since() + STREAM_SILENCE;
            let reserve = self.reserve_other(session, silence_end.max(exchange.next_check()));
            let mut reserve = pin!(reserve);
            while !exchange.forward(relay).await? {
                if exchange.is_done() {
                    return Self::end_stream(exchange, relay).map(|()| None);
                }
                let fill = async { exchange.fill().await.map(FillStep::Filled) };
                let reserved = async { Ok(FillStep::Reserved(Box::new(reserve.as_mut().await))) };
                match fill.or(reserved).await? {
                    FillStep::Filled(true) => {}
                    FillStep::Filled(false) => {
                        return Self::end_stream(exchange, relay).map(|()| None);
                    }
                    FillStep::Reserved(reserved) => return Ok(Some(*reserved)),
                }
            }
            if !has_begun {
                has_begun = true;
                let now = self.state.clock.now();
                self.state.core.borrow_mut().record_begun(session.details(), now);
            }
        }
    }

    /// Ends a stream whose body has ended. Within an event it has been broken off, also if the body is whole.
    fn end_stream(
        exchange: &mut TargetExchange<'_>,
        relay: &AnswerRelay<'_>,
    ) -> Result<(), AttemptStop> {
        match relay.is_within_event() {
            true => Err(exchange.cut_event().into()),
            false => Ok(()),
        }
    }

    /// How long to wait for the reply's head, and from then for the rest of an answer that is no stream,
    /// before another target is asked.
    fn answer_silence(session: &GateSession<Dispatched>) -> Duration {
        let predicted = session.placement().expected * SILENCE_FACTOR;
        predicted.max(session.target_latency() * 2).max(ANSWER_SILENCE)
    }

    /// Waits until `start`, and then until another target is reserved for the request and
    /// connected. Until then, a silent target is the only one that can still answer. Dropping the
    /// future releases the target.
    async fn reserve_other(
        &self,
        session: &GateSession<Dispatched>,
        start: MonoTime,
    ) -> (ReservedTarget, TargetLink) {
        let clock = &self.state.clock;
        if !session.kind().is_retryable() {
            std::future::pending::<()>().await;
        }
        clock.sleep_until(start).await;
        loop {
            let reserved = session.reserve(&self.state.core.borrow(), random(), clock.now());
            if let Some(reserved) = reserved {
                let target = reserved.placement().target;
                match self.open_link(session, target).await {
                    Ok(link) => return (reserved, link),
                    Err(evidence) => self.record_unreached(session, reserved, evidence),
                }
            }
            clock.sleep(SILENCE_CHECK).await;
        }
    }

    /// Records that a reserved target could not be connected.
    fn record_unreached(
        &self,
        session: &GateSession<Dispatched>,
        reserved: ReservedTarget,
        evidence: AttemptEvidence,
    ) {
        let mut core = self.state.core.borrow_mut();
        let name = |target| core.targets().entry(target).map_or("gone", |entry| entry.id.as_str());
        let line = EventLine::new("hand-over")
            .field("id", self.request_id)
            .field("phase", "unreached")
            .field("reason", evidence.as_str())
            .field("from", name(session.placement().target))
            .field("to", name(reserved.placement().target));
        log::info!("{line}");
        session.record_unreached(&mut core, reserved, self.state.clock.now());
    }
}

/// What happened while more bytes of a stream were awaited.
enum FillStep {
    /// Bytes were read; whether more may follow.
    Filled(bool),
    Reserved(Box<(ReservedTarget, TargetLink)>),
}
