use std::rc::Rc;

use futures_lite::FutureExt;
use kwg_adapter::ReplyKind;
use kwg_gate::{AttemptEvidence, AttemptSample, TargetKey};
use kwg_h1::{BodyDecoder, BodyFraming, ReplyHead};
use kwg_model::MonoTime;

use super::answer_relay::{AnswerRelay, RelayError};
use super::attempt_stop::AttemptStop;
use super::counted_body::CountedBody;
use super::event_pace::EventPace;
use super::event_splitter::EventSplitter;
use super::reply_reader::{ReplyReader, SkippedReplies};
use super::request_writer::RequestWriter;
use super::target_link::TargetLink;
use super::traffic_state::TrafficState;

/// Maximum length of a buffered answer, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;
/// Maximum number of bytes of a stream that are kept before its first event has decided a hand-over.
const MAX_FIRST_BYTES: usize = 128 << 10;

/// The request of one attempt at its target, and the reply as far as it has been read. Reading can
/// be cancelled and continued.
#[derive(Debug)]
pub(crate) struct TargetExchange<'a> {
    state: &'a Rc<TrafficState>,
    request_id: &'a str,
    link: TargetLink,
    request: Vec<u8>,
    /// Number of bytes of the request that have been written.
    written: usize,
    skipped: SkippedReplies,
    reply: Option<StartedReply>,
    /// Whether the whole reply has been read, once it has been understood.
    is_at_end: bool,
    pace: EventPace,
    /// When the silence of the target began: its last sign of progress.
    silent_since: MonoTime,
    /// When another target may be asked again.
    next_check: MonoTime,
}

/// The head of a reply, and the bytes of its body that have been decoded and not been passed on.
#[derive(Debug)]
struct StartedReply {
    head: ReplyHead,
    kind: ReplyKind,
    decoder: BodyDecoder,
    decoded: Vec<u8>,
    /// The body so far, of a reply that is passed on whole.
    whole: CountedBody,
}

impl<'a> TargetExchange<'a> {
    /// Creates the exchange of an encoded request; nothing has been sent.
    pub(crate) fn new(
        state: &'a Rc<TrafficState>,
        request_id: &'a str,
        link: TargetLink,
        request: Vec<u8>,
    ) -> Self {
        let silent_since = state.clock.now();
        link.socket.set_message_length(request.len());
        Self {
            state,
            request_id,
            link,
            request,
            written: 0,
            skipped: SkippedReplies::default(),
            reply: None,
            is_at_end: true,
            pace: EventPace::default(),
            silent_since,
            next_check: MonoTime::ZERO,
        }
    }

    pub(crate) fn target(&self) -> TargetKey {
        self.link.target
    }

    /// When the silence of the target began.
    pub(crate) fn silent_since(&self) -> MonoTime {
        self.silent_since
    }

    /// When another target may be asked again; in the past if none has been.
    pub(crate) fn next_check(&self) -> MonoTime {
        self.next_check
    }

    pub(crate) fn set_next_check(&mut self, next_check: MonoTime) {
        self.next_check = next_check;
    }

    /// Sends the request and reads the head of the reply, unless that has been done; returns it.
    pub(crate) async fn read_head(&mut self) -> Result<(ReplyHead, ReplyKind), AttemptEvidence> {
        if let Some(reply) = &self.reply {
            return Ok((reply.head.clone(), reply.kind));
        }
        let (mut reply, request) = self.split();
        let (head, kind) = match reply.read_head().or(request.write_rest()).await {
            // What arrives before the request is no reply to it.
            _ if self.written == 0 => return Err(AttemptEvidence::NotSent),
            read => read?,
        };
        if kind != ReplyKind::Unusable {
            self.state.record_word(self.link.target, &head);
        }
        let decoder = BodyDecoder::new(match self.request.starts_with(b"HEAD ") {
            // Its length is that of the body that is not sent.
            true => BodyFraming::Length(0),
            false => head.framing,
        });
        self.reply = Some(StartedReply {
            head: head.clone(),
            kind,
            decoder,
            decoded: Vec::new(),
            whole: CountedBody::new(self.state),
        });
        self.silent_since = self.state.clock.now();
        Ok((head, kind))
    }

    /// Sends the request and waits until the target has shown what the caller needs of it: an event of
    /// a stream, or a complete answer. What has been read stays in the exchange. `events` holds what
    /// the target has begun of an event before.
    ///
    /// # Errors
    /// The evidence, if the target does not answer the request.
    pub(crate) async fn read_proof(
        &mut self,
        is_stream: bool,
        events: &EventSplitter,
    ) -> Result<(), AttemptEvidence> {
        let (head, kind) = self.read_head().await?;
        match kind {
            ReplyKind::Answer if !is_stream => return self.read_whole().await,
            ReplyKind::Answer => {}
            ReplyKind::Declined => return Err(AttemptEvidence::Declined),
            ReplyKind::Failure => return Err(AttemptEvidence::TargetFailure),
            ReplyKind::Foreign | ReplyKind::Unusable => return Err(self.reject_kind(&head)),
        }
        let (mut events, before) = (events.clone(), events.count());
        let mut searched = 0;
        loop {
            self.decode()?;
            let decoded = self.reply.as_ref().map_or(&[][..], |reply| &reply.decoded[searched..]);
            searched += decoded.len();
            match events.push(decoded) {
                Ok(_) if events.count() > before => return Ok(()),
                Ok(_) if self.is_done() && events.is_within_event() => {
                    return Err(self.cut_event());
                }
                Ok(_) if self.is_done() => return Ok(()),
                Ok(_) if searched > MAX_FIRST_BYTES => {
                    return Err(self.reply_reader().reject("no event among the first bytes"));
                }
                Ok(_) => {}
                Err(error) => return Err(self.reply_reader().reject(error)),
            }
            if !self.fill().await? {
                return match events.is_within_event() {
                    true => Err(self.cut_event()),
                    false => Ok(()),
                };
            }
        }
    }

    /// Sends the events that have been read to the caller; returns whether there were any. Bytes
    /// that complete no event do not end the silence.
    pub(crate) async fn forward(
        &mut self,
        relay: &mut AnswerRelay<'_>,
    ) -> Result<bool, AttemptStop> {
        self.decode()?;
        let Some(reply) = &mut self.reply else { return Ok(false) };
        let (bytes, before) = (std::mem::take(&mut reply.decoded), relay.event_count());
        let has_events = match relay.send_events(&reply.head, &bytes).await {
            Ok(has_events) => has_events,
            Err(RelayError::EventTooLong(error)) => {
                return Err(self.reply_reader().reject(error).into());
            }
            Err(RelayError::CallerDisconnected) => return Err(AttemptStop::CallerDisconnected),
        };
        if has_events {
            self.link.guard.record_prompt_read();
            self.silent_since = self.state.clock.now();
            self.pace.record_events(relay.event_count() - before, self.silent_since);
            self.link.guard.record_events(relay.event_count() - before, self.silent_since);
        }
        Ok(has_events)
    }

    /// Reads more bytes of a body, and sends what is left of the request meanwhile, without which the
    /// target may not end its answer; returns whether more may follow.
    pub(crate) async fn fill(&mut self) -> Result<bool, AttemptEvidence> {
        let is_end = self.reply.as_ref().is_some_and(|reply| reply.decoder.is_complete_at_close());
        let (mut reply, request) = self.split();
        let read = async { Ok(reply.reader.fill().await) };
        match read.or(request.write_rest()).await? {
            Ok(0) if is_end => Ok(false),
            Ok(0) => Err(self.reply_reader().cut("the connection ended in the body")),
            Ok(_) => Ok(true),
            Err(error) => Err(self.reply_reader().cut(error)),
        }
    }

    /// Whether an event of the answer has been sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.pace.events > 0
    }

    /// Whether the body of the reply has been decoded to its end.
    pub(crate) fn is_done(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.decoder.is_done())
    }

    /// Reads the body of a reply that is passed on whole.
    pub(crate) async fn read_whole(&mut self) -> Result<(), AttemptEvidence> {
        loop {
            self.decode()?;
            let Some(reply) = &mut self.reply else { return Ok(()) };
            let has_room = reply.whole.push(&reply.decoded);
            reply.decoded.clear();
            let length = reply.whole.bytes().len();
            if reply.decoder.is_done() {
                return Ok(());
            }
            if !has_room || length > MAX_WHOLE_ANSWER {
                let reason = format_args!("no room for a body of more than {length} bytes");
                return Err(self.reply_reader().reject(reason));
            }
            if !self.fill().await? {
                return Ok(());
            }
        }
    }

    /// Takes the body that has been read by [`Self::read_whole`].
    pub(crate) fn take_whole(&mut self) -> CountedBody {
        let taken = CountedBody::new(self.state);
        match &mut self.reply {
            Some(reply) => std::mem::replace(&mut reply.whole, taken),
            None => taken,
        }
    }

    /// Takes the reply of a target that has failed, whose body has been read by [`Self::read_whole`].
    pub(crate) fn take_failure(&mut self) -> Option<(ReplyHead, CountedBody)> {
        let head = self.reply.as_ref()?.head.clone();
        Some((head, self.take_whole()))
    }

    /// Skips the body of a reply that says all in its head.
    pub(crate) async fn skip_rest(&mut self, head: &ReplyHead) {
        self.is_at_end = self.reply_reader().skip_rest(head).await;
    }

    /// Logs that the reply is not an answer to this request.
    pub(crate) fn reject_kind(&mut self, head: &ReplyHead) -> AttemptEvidence {
        self.reply_reader().reject(format_args!("status {} is no valid answer", head.status))
    }

    /// Logs that a stream ended within an event.
    pub(crate) fn cut_event(&mut self) -> AttemptEvidence {
        self.reply_reader().cut("the stream ended within an event")
    }

    /// The measurements of a complete answer.
    pub(crate) fn sample(&self, tokens_per_event: f64) -> AttemptSample {
        let mut sample = AttemptSample { tokens_per_event, ..AttemptSample::default() };
        self.pace.fill_sample(self.link.since, &mut sample);
        sample.hold = self.state.clock.now().since(self.link.since);
        sample
    }

    /// Releases the slot after a reply, and keeps the connection if it can carry another request.
    pub(crate) fn finish(mut self) {
        let is_written = self.written == self.request.len();
        let is_empty = self.reply_reader().reader.inbox().is_empty();
        let head = self.reply.map(|reply| reply.head).filter(|head| head.keeps_alive);
        if let Some(head) = head
            && is_written
            && is_empty
            && self.is_at_end
        {
            self.link.keep(self.state, head.idle_timeout());
        }
    }

    /// Decodes the bytes of a body that have been read.
    fn decode(&mut self) -> Result<(), AttemptEvidence> {
        let Some(reply) = &mut self.reply else { return Ok(()) };
        let (mut reader, _) = self.link.socket.split();
        match reply.decoder.decode(reader.inbox(), &mut reply.decoded) {
            Ok(used) => {
                reader.consume(used);
                Ok(())
            }
            Err(error) => Err(self.reply_reader().cut(error)),
        }
    }

    fn reply_reader(&mut self) -> ReplyReader<'_, '_> {
        self.split().0
    }

    /// Borrows both directions, for concurrent use.
    fn split(&mut self) -> (ReplyReader<'_, '_>, RequestWriter<'_>) {
        let (reader, writer) = self.link.socket.split();
        let reply = ReplyReader {
            state: self.state,
            request_id: self.request_id,
            target: self.link.target,
            reader,
            is_reused: self.link.is_reused,
            skipped: &mut self.skipped,
        };
        let (request, written) = (&self.request[..], &mut self.written);
        (reply, RequestWriter { request_id: self.request_id, writer, request, written })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/target_exchange.rs"]
mod tests;
