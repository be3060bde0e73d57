use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use kwg_adapter::{ReplyKind, TargetCodec};
use kwg_gate::{AttemptEvidence, TargetKey};
use kwg_h1::{BodyDecoder, ReplyHead};
use kwg_telemetry::EventLine;

use super::traffic_state::TrafficState;
use crate::socket::{SocketReader, skip_body};

/// Maximum number of replies to other requests that are skipped on one connection.
const MAX_FOREIGN_REPLIES: usize = 3;
/// Maximum number of interim replies (1xx) before the final one.
const MAX_INTERIM_REPLIES: usize = 8;
/// Maximum length of a body that is skipped so that its connection can be used again, in bytes.
const MAX_SKIPPED_BODY: usize = 64 << 10;
/// Time limit for skipping the body of a reply that has been understood by its head.
const SKIP_LIMIT: Duration = Duration::from_millis(100);

/// Reads the reply of one attempt's target. Whatever the target sends, the memory that it takes is
/// bounded.
#[derive(Debug)]
pub(crate) struct ReplyReader<'a, 's> {
    pub(crate) state: &'a Rc<TrafficState>,
    pub(crate) request_id: &'a str,
    pub(crate) target: TargetKey,
    pub(crate) reader: SocketReader<'s>,
    /// Whether the connection has carried an earlier request, to which a late reply may belong.
    pub(crate) is_reused: bool,
    pub(crate) skipped: &'a mut SkippedReplies,
}

/// The replies before the one to the request, as far as they have been skipped.
#[derive(Debug, Default)]
pub(crate) struct SkippedReplies {
    interim: usize,
    foreign: usize,
    /// The body that is being skipped, and its length so far.
    body: Option<(BodyDecoder, usize)>,
}

impl ReplyReader<'_, '_> {
    /// Reads the head of the reply to this request; skips interim replies and replies to other
    /// requests. It can be cancelled and continued.
    pub(crate) async fn read_head(&mut self) -> Result<(ReplyHead, ReplyKind), AttemptEvidence> {
        loop {
            self.skip_foreign_body().await?;
            let (head, used) = match ReplyHead::parse(self.reader.inbox()) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => match self.reader.fill().await {
                    Ok(0) => return Err(self.cut("the connection ended before a reply")),
                    Ok(_) => continue,
                    Err(error) => return Err(self.cut(error)),
                },
                Err(error) => return Err(self.reject(error)),
            };
            self.reader.consume(used);
            if head.status < 200 {
                self.skipped.interim += 1;
                if self.skipped.interim > MAX_INTERIM_REPLIES {
                    return Err(self.reject("too many interim replies"));
                }
                continue;
            }
            let kind = TargetCodec::classify(&head, self.request_id, self.is_reused);
            if kind != ReplyKind::Foreign {
                return Ok((head, kind));
            }
            self.skipped.foreign += 1;
            if self.skipped.foreign > MAX_FOREIGN_REPLIES {
                return Err(self.reject("replies to other requests"));
            }
            self.skipped.body = Some((BodyDecoder::new(head.framing), 0));
        }
    }

    /// Skips the rest of the body of a reply to another request.
    async fn skip_foreign_body(&mut self) -> Result<(), AttemptEvidence> {
        let mut part = Vec::new();
        while let Some((decoder, length)) = &mut self.skipped.body {
            part.clear();
            let decoded = decoder.decode(self.reader.inbox(), &mut part);
            *length += part.len();
            let (is_done, is_too_long) = (decoder.is_done(), *length > MAX_SKIPPED_BODY);
            let is_complete_at_close = decoder.is_complete_at_close();
            let used = decoded.map_err(|error| self.cut_foreign(error))?;
            self.reader.consume(used);
            if is_done {
                self.skipped.body = None;
                return Ok(());
            }
            if is_too_long {
                return Err(self.cut_foreign("the body is too long"));
            }
            match self.reader.fill().await {
                Ok(0) if is_complete_at_close => self.skipped.body = None,
                Ok(0) => return Err(self.cut_foreign("the connection ended in the body")),
                Ok(_) => {}
                Err(error) => return Err(self.cut_foreign(error)),
            }
        }
        Ok(())
    }

    fn cut_foreign(&self, reason: impl Display) -> AttemptEvidence {
        self.cut(format_args!("reply to another request: {reason}"))
    }

    /// Skips the body of a reply that says all in its head; returns whether it has ended, so that
    /// the connection can be used again.
    pub(crate) async fn skip_rest(&mut self, head: &ReplyHead) -> bool {
        let timeout = async {
            self.state.clock.sleep(SKIP_LIMIT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        skip_body(&mut self.reader, head.framing, MAX_SKIPPED_BODY).or(timeout).await.is_ok()
    }

    /// Logs that the target's bytes are not a valid reply.
    pub(crate) fn reject(&self, reason: impl Display) -> AttemptEvidence {
        self.log_rejected(AttemptEvidence::BadAnswer, reason)
    }

    /// Logs that the reply broke off.
    pub(crate) fn cut(&self, reason: impl Display) -> AttemptEvidence {
        self.log_rejected(AttemptEvidence::Cut, reason)
    }

    fn log_rejected(&self, evidence: AttemptEvidence, reason: impl Display) -> AttemptEvidence {
        let core = self.state.core.borrow();
        let target = core.targets().entry(self.target);
        let line = EventLine::new("reply-rejected")
            .field("id", self.request_id)
            .field("target", target.map_or("gone", |entry| entry.id.as_str()))
            .field("evidence", evidence.as_str())
            .field("reason", reason);
        log::info!("{line}");
        evidence
    }
}
