use kwg_adapter::CallerCodec;
use kwg_gate::FinalWord;
use kwg_h1::{HeadWriter, ReplyHead};

use super::event_splitter::EventSplitter;
use crate::socket::SocketWriter;

/// The way back to one caller.
#[derive(Debug)]
pub(crate) struct AnswerRelay<'a> {
    writer: SocketWriter<'a>,
    keeps_alive: bool,
    has_begun: bool,
    splitter: EventSplitter,
}

/// The caller takes no more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerLost;

impl<'a> AnswerRelay<'a> {
    pub(crate) fn new(writer: SocketWriter<'a>, keeps_alive: bool) -> Self {
        Self { writer, keeps_alive, has_begun: false, splitter: EventSplitter::default() }
    }

    /// Whether the caller has a part of an answer: then nothing else can be said.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// The last event that the caller has.
    pub(crate) fn last_event(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// How many events the caller has.
    pub(crate) fn event_count(&self) -> u64 {
        self.splitter.count()
    }

    /// Passes on a whole answer.
    pub(crate) async fn send_whole(
        &mut self,
        head: &ReplyHead,
        body: &[u8],
    ) -> Result<(), CallerLost> {
        let mut bytes = CallerCodec::encode_answer_head(head, Some(body.len()), self.keeps_alive);
        bytes.extend_from_slice(body);
        self.has_begun = true;
        self.write(&bytes).await
    }

    /// Passes on the whole events among new bytes of a stream, behind its head at first. The
    /// head of a second run is dropped: the stream goes on under the first one.
    pub(crate) async fn send_events(
        &mut self,
        head: &ReplyHead,
        bytes: &[u8],
    ) -> Result<bool, CallerLost> {
        let events = self.splitter.push(bytes);
        if events.is_empty() {
            return Ok(false);
        }
        let mut out = Vec::new();
        if !self.has_begun {
            out = CallerCodec::encode_answer_head(head, None, self.keeps_alive);
            self.has_begun = true;
        }
        HeadWriter::write_chunk(&events, &mut out);
        self.write(&out).await?;
        Ok(true)
    }

    /// Ends a stream whose last run is complete.
    pub(crate) async fn finish_events(&mut self, head: &ReplyHead) -> Result<(), CallerLost> {
        let mut out = Vec::new();
        if !self.has_begun {
            out = CallerCodec::encode_answer_head(head, None, self.keeps_alive);
            self.has_begun = true;
        }
        let rest = self.splitter.take_rest();
        HeadWriter::write_chunk(&rest, &mut out);
        out.extend_from_slice(HeadWriter::LAST_CHUNK);
        self.write(&out).await
    }

    /// Drops the unfinished event of a run that broke.
    pub(crate) fn drop_unfinished(&mut self) {
        self.splitter.drop_rest();
    }

    /// Says a final word, if nothing has been said yet.
    pub(crate) async fn send_word(
        &mut self,
        word: FinalWord,
        request_id: &str,
    ) -> Result<(), CallerLost> {
        if self.has_begun {
            return Err(CallerLost);
        }
        self.has_begun = true;
        let bytes = CallerCodec::encode_word(word, request_id, self.keeps_alive);
        self.write(&bytes).await
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), CallerLost> {
        self.writer.write(bytes).await.map_err(|(_, error)| {
            log::debug!("event=caller-lost error={error}");
            CallerLost
        })
    }
}
