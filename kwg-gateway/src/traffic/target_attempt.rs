use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_adapter::{OutgoingCall, ReplyKind, TargetCodec};
use kwg_gate::{AttemptEvidence, AttemptSample, Dispatched, GateSession, RequestKind};
use kwg_h1::{BodyDecoder, ReplyHead, RequestHead};
use kwg_model::MonoTime;

use super::answer_relay::{AnswerRelay, CallerDisconnected};
use super::attempt_guard::AttemptGuard;
use super::attempt_report::AttemptReport;
use super::traffic_state::TrafficState;
use crate::socket::{ByteSocket, SocketReader, read_reply};

/// Time limit for connecting to a target. A round trip between regions takes 24 ms, and one lost
/// packet costs a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_300);
/// Silence after which a resumable stream is resumed at another target. Callers disconnect after
/// two seconds without an event.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// Minimum silence before the reply's head after which a retryable request is retried elsewhere.
const ANSWER_SILENCE: Duration = Duration::from_millis(1_200);
/// Multiple of the predicted time after which a retryable request without a reply is retried
/// elsewhere.
const SILENCE_FACTOR: u32 = 4;
/// Maximum number of replies to other requests that are skipped on one connection.
const MAX_FOREIGN_REPLIES: usize = 3;
/// Maximum length of a buffered answer, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// One attempt: sends the request to one target and relays the answer to the caller.
#[derive(Debug)]
pub(crate) struct TargetAttempt<'a> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) session: &'a GateSession<Dispatched>,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a [u8],
    /// Whether the caller's `authorization` header is withheld from the target, because it holds
    /// the caller's API key.
    pub(crate) hides_key: bool,
}

/// Why an attempt ended early.
enum AttemptStop {
    Evidence(AttemptEvidence),
    CallerDisconnected,
}

impl From<CallerDisconnected> for AttemptStop {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

impl From<AttemptEvidence> for AttemptStop {
    fn from(evidence: AttemptEvidence) -> Self {
        Self::Evidence(evidence)
    }
}

impl TargetAttempt<'_> {
    /// Runs the attempt to its end, or to the request's deadline.
    pub(crate) async fn run(self, relay: &mut AnswerRelay<'_>) -> AttemptReport {
        let clock = &self.state.clock;
        let timeout = async {
            clock.sleep_until(self.session.due()).await;
            Err(AttemptStop::Evidence(AttemptEvidence::TimedOut))
        };
        match self.exchange(relay).or(timeout).await {
            Ok(report) => report,
            Err(AttemptStop::Evidence(evidence)) => AttemptReport::Ended(evidence),
            Err(AttemptStop::CallerDisconnected) => AttemptReport::CallerDisconnected,
        }
    }

    async fn exchange(&self, relay: &mut AnswerRelay<'_>) -> Result<AttemptReport, AttemptStop> {
        let target = self.session.placement().target;
        let tokens = self.session.details().tokens.map_or(0, |tokens| tokens.prompt);
        let guard = AttemptGuard::new(self.state, target, tokens);
        let started = self.state.clock.now();
        let mut socket = self.connect().await?;
        let request = self.encode(relay)?;
        let (mut reader, writer) = socket.split();
        let mut is_written = false;
        let head = {
            let write = async {
                let written = writer.write(&request).await;
                is_written = written.is_ok();
                match written {
                    Ok(()) => std::future::pending().await,
                    Err((0, _)) => Err(AttemptEvidence::NotSent),
                    // The target may reply before it has read the whole request.
                    Err(_) => std::future::pending().await,
                }
            };
            let silence = async {
                self.state.clock.sleep(self.answer_silence()).await;
                Err(AttemptEvidence::Silent)
            };
            self.read_head(&mut reader).or(write).or(silence).await?
        };
        let reply_kind = TargetCodec::classify(&head, &self.session.details().id);
        let mut sample = AttemptSample {
            tokens_per_event: self.session.tokens_per_event(),
            ..AttemptSample::default()
        };
        let report = match (reply_kind, self.session.kind()) {
            (ReplyKind::Answer, RequestKind::Stream { .. }) => {
                let pace = self.relay_stream(&head, &mut reader, relay, &guard).await?;
                pace.fill_sample(started, &mut sample);
                AttemptReport::Answered(sample)
            }
            (ReplyKind::Answer, _) => {
                let body = self.read_whole(&head, &mut reader).await?;
                relay.send_whole(&head, &body).await?;
                AttemptReport::Answered(sample)
            }
            (ReplyKind::Failure, _) => {
                let body = self.read_whole(&head, &mut reader).await?;
                AttemptReport::Failed(head.clone(), body)
            }
            (ReplyKind::Declined, _) => {
                self.read_whole(&head, &mut reader).await?;
                AttemptReport::Ended(AttemptEvidence::Declined)
            }
            (ReplyKind::Foreign | ReplyKind::Unusable, _) => {
                return Err(AttemptEvidence::BadAnswer.into());
            }
        };
        drop(guard);
        if head.keeps_alive && is_written && reader.inbox().is_empty() {
            self.keep(socket, &head);
        }
        let report = match report {
            AttemptReport::Answered(sample) => {
                let hold = self.state.clock.now().since(started);
                AttemptReport::Answered(AttemptSample { hold, ..sample })
            }
            report => report,
        };
        Ok(report)
    }

    /// Takes an idle connection that may carry this request, or opens a new one.
    async fn connect(&self) -> Result<ByteSocket, AttemptEvidence> {
        let target = self.session.placement().target;
        let now = self.state.clock.now();
        let is_retryable = self.session.kind().is_retryable();
        let idle_socket = self.state.pool.borrow_mut().take(target, is_retryable, now);
        let idle = self.state.pool.borrow().count(target);
        self.state.core.borrow_mut().targets_mut().record_idle_connections(target, idle);
        if let Some(socket) = idle_socket {
            return Ok(socket);
        }
        let address = self.state.core.borrow().targets().entry(target).map(|entry| entry.address);
        let address = address.ok_or(AttemptEvidence::NotSent)?;
        self.state.metrics.record_connect();
        ByteSocket::connect(address, CONNECT_LIMIT).await.map_err(|error| {
            log::debug!("event=connect-failed address={address} error={error}");
            AttemptEvidence::NotSent
        })
    }

    /// Returns the connection to the pool.
    fn keep(&self, socket: ByteSocket, head: &ReplyHead) {
        let target = self.session.placement().target;
        let now = self.state.clock.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.put(target, socket, head.idle_timeout(), now);
        let idle = pool.count(target);
        self.state.core.borrow_mut().targets_mut().record_idle_connections(target, idle);
    }

    fn encode(&self, relay: &AnswerRelay<'_>) -> Result<Vec<u8>, AttemptEvidence> {
        let core = self.state.core.borrow();
        let entry = core.targets().entry(self.session.placement().target);
        // A target that started to drain while the connection was opened gets no new request.
        let entry = entry.filter(|entry| !entry.is_draining).ok_or(AttemptEvidence::NotSent)?;
        let call = OutgoingCall {
            target: &entry.id,
            account: self.session.account(),
            left: self.session.due().since(self.state.clock.now()),
            resume_after: relay.last_event(),
            hides_key: self.hides_key,
        };
        Ok(TargetCodec::encode(self.head, self.body, &call))
    }

    /// How long to wait for the reply's head before the attempt ends as silent. Practically
    /// unlimited for a request that must not be repeated.
    fn answer_silence(&self) -> Duration {
        if !self.session.kind().is_retryable() {
            return Duration::MAX / 4;
        }
        let predicted = self.session.placement().expected * SILENCE_FACTOR;
        predicted.max(self.session.target_latency() * 2).max(ANSWER_SILENCE)
    }

    /// Reads the head of the reply to this request; skips replies to other requests.
    async fn read_head(&self, reader: &mut SocketReader<'_>) -> Result<ReplyHead, AttemptEvidence> {
        let mut skipped = 0;
        loop {
            match ReplyHead::parse(reader.inbox()) {
                Ok(Some((head, used))) if head.status < 200 => reader.consume(used),
                Ok(Some((head, used))) => {
                    let reply_kind = TargetCodec::classify(&head, &self.session.details().id);
                    if reply_kind != ReplyKind::Foreign || skipped >= MAX_FOREIGN_REPLIES {
                        reader.consume(used);
                        return Ok(head);
                    }
                    skipped += 1;
                    read_reply(reader).await.map_err(|_| AttemptEvidence::Cut)?;
                }
                Ok(None) => match reader.fill().await {
                    Ok(0) | Err(_) => return Err(AttemptEvidence::Cut),
                    Ok(_) => {}
                },
                Err(_) => return Err(AttemptEvidence::BadAnswer),
            }
        }
    }

    async fn read_whole(
        &self,
        head: &ReplyHead,
        reader: &mut SocketReader<'_>,
    ) -> Result<Vec<u8>, AttemptEvidence> {
        let (mut decoder, mut body) = (BodyDecoder::new(head.framing), Vec::new());
        loop {
            let used =
                decoder.decode(reader.inbox(), &mut body).map_err(|_| AttemptEvidence::Cut)?;
            reader.consume(used);
            if decoder.is_done() {
                return Ok(body);
            }
            match reader.fill().await {
                Ok(0) if decoder.is_complete_at_close() => return Ok(body),
                Ok(count) if count > 0 && body.len() <= MAX_WHOLE_ANSWER => {}
                _ => return Err(AttemptEvidence::Cut),
            }
        }
    }

    /// Relays a stream to the caller, event by event.
    async fn relay_stream(
        &self,
        head: &ReplyHead,
        reader: &mut SocketReader<'_>,
        relay: &mut AnswerRelay<'_>,
        guard: &AttemptGuard,
    ) -> Result<EventPace, AttemptStop> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut pace = EventPace::default();
        let (clock, before) = (&self.state.clock, relay.event_count());
        loop {
            let mut bytes = Vec::new();
            let decoded = decoder.decode(reader.inbox(), &mut bytes);
            let used = decoded.map_err(|_| AttemptEvidence::Cut)?;
            reader.consume(used);
            if relay.send_events(head, &bytes).await? {
                guard.record_prompt_read();
                pace.record_event(clock.now());
            }
            if decoder.is_done() {
                break;
            }
            let silence = async {
                clock.sleep(self.stream_silence()).await;
                Err(AttemptEvidence::Silent)
            };
            let fill = async { reader.fill().await.map_err(|_| AttemptEvidence::Cut) };
            match fill.or(silence).await? {
                0 if decoder.is_complete_at_close() => break,
                0 => return Err(AttemptEvidence::Cut.into()),
                _ => {}
            }
        }
        relay.finish_events(head).await?;
        pace.events = relay.event_count() - before;
        Ok(pace)
    }

    /// How long to wait for more bytes of a stream before the attempt ends as silent. Practically
    /// unlimited for a stream that must not be resumed.
    fn stream_silence(&self) -> Duration {
        match self.session.kind().is_retryable() {
            true => STREAM_SILENCE,
            false => Duration::MAX / 4,
        }
    }
}

/// Number and times of the events of one attempt's stream.
#[derive(Debug, Default)]
struct EventPace {
    first: Option<MonoTime>,
    last: Option<MonoTime>,
    longest_gap: Duration,
    events: u64,
}

impl EventPace {
    fn record_event(&mut self, now: MonoTime) {
        if let Some(last) = self.last {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    fn fill_sample(&self, started: MonoTime, sample: &mut AttemptSample) {
        sample.first_event = self.first.map(|first| first.since(started));
        if let (Some(first), Some(last), true) = (self.first, self.last, self.events > 1) {
            let span = last.since(first);
            sample.event_gap = Some(span / u32::try_from(self.events - 1).unwrap_or(u32::MAX));
            sample.longest_gap = Some(self.longest_gap);
        }
    }
}
