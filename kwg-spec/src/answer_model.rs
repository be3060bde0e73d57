use kwg_model::ByteChunk;
use kwg_wire::{SseEvent, SseKind, SseParser};

use crate::ModelState;

/// How a reader resumes an answer and detects its end, as implemented or broken in one way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerVariant {
    /// Only the end event marks the end.
    Sound,
    /// A closed connection counts as the end of the answer.
    DisconnectIsEnd,
    /// After a disconnect the reader resumes from the start of the stream instead of its own
    /// offset.
    ResumeFromStart,
}

/// Model of a reader of one answer over connections that may be cut after any byte.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AnswerModel {
    variant: AnswerVariant,
    answer: Vec<Vec<u8>>,
    /// The part of the answer that the reader has received.
    text: Vec<u8>,
    cuts_left: u8,
    ended: bool,
    step: String,
}

impl AnswerModel {
    /// Creates a reader of an answer of three parts, whose connection is cut up to `cuts` times.
    #[must_use]
    pub fn new(variant: AnswerVariant, cuts: u8) -> Self {
        let answer = [b"ab".as_slice(), b"c", b"de\n\n"].map(<[u8]>::to_vec).to_vec();
        let step = "start".to_owned();
        Self { variant, answer, text: Vec::new(), cuts_left: cuts, ended: false, step }
    }

    fn full_text(&self) -> Vec<u8> {
        self.answer.concat()
    }

    /// Returns the bytes that the target sends to a reader that already has `offset` bytes.
    fn stream_from(&self, offset: usize) -> Vec<u8> {
        let (mut bytes, mut end) = (Vec::new(), 0);
        for part in &self.answer {
            end += part.len();
            let unread = end.saturating_sub(offset).min(part.len());
            if unread > 0 {
                let chunk = ByteChunk::from(&part[part.len() - unread..]);
                let event = SseEvent { offset: end as u64, kind: SseKind::Part(chunk) };
                event.encode(&mut bytes);
            }
        }
        SseEvent { offset: end as u64, kind: SseKind::End }.encode(&mut bytes);
        bytes
    }

    /// Reads a connection that is cut after `length` bytes, with [`SseParser`].
    fn read(&self, bytes: &[u8], length: usize) -> Self {
        let mut next = self.clone();
        next.step = format!("reads {length} of {} bytes", bytes.len());
        let mut parser = SseParser::default();
        parser.push(&bytes[..length]);
        while let Ok(Some(event)) = parser.next_event() {
            match event.kind {
                SseKind::Part(chunk) => next.text.extend_from_slice(&chunk),
                SseKind::End => next.ended = true,
                SseKind::Failed(_) => {}
            }
        }
        if length < bytes.len() {
            next.cuts_left -= 1;
            next.ended |= self.variant == AnswerVariant::DisconnectIsEnd;
        }
        next
    }
}

impl ModelState for AnswerModel {
    fn successors(&self) -> Vec<Self> {
        if self.ended {
            return Vec::new();
        }
        let offset = match self.variant {
            AnswerVariant::ResumeFromStart => 0,
            _ => self.text.len(),
        };
        let bytes = self.stream_from(offset);
        let shortest = if self.cuts_left > 0 { 0 } else { bytes.len() };
        (shortest..=bytes.len()).map(|length| self.read(&bytes, length)).collect()
    }

    fn violation(&self) -> Option<String> {
        let is_wrong = self.ended && self.text != self.full_text();
        is_wrong.then(|| format!("the reader took {:?} for the whole answer", self.text))
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
