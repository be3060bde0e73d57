use kwg_model::ByteChunk;
use kwg_wire::{SseEvent, SseKind, SseParser};

use crate::SpecWorld;

/// How a reader tells the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerVariant {
    /// By the end event, and by nothing else.
    Sound,
    /// A connection that ends counts as the end of the answer.
    CutIsEnd,
    /// After a cut the reader starts from where it believes the stream was, not from its own
    /// offset.
    ResumeFromStart,
}

/// A reader of one answer over connections that may be cut after any byte.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AnswerWorld {
    variant: AnswerVariant,
    answer: Vec<Vec<u8>>,
    /// What the reader has put together.
    text: Vec<u8>,
    cuts_left: u8,
    ended: bool,
    step: String,
}

impl AnswerWorld {
    /// A reader of an answer of three parts, whose connection is cut up to `cuts` times.
    #[must_use]
    pub fn new(variant: AnswerVariant, cuts: u8) -> Self {
        let answer = [b"ab".as_slice(), b"c", b"de\n\n"].map(<[u8]>::to_vec).to_vec();
        let step = "start".to_owned();
        Self { variant, answer, text: Vec::new(), cuts_left: cuts, ended: false, step }
    }

    fn whole(&self) -> Vec<u8> {
        self.answer.concat()
    }

    /// The bytes that the target sends to a reader that has `offset` bytes.
    fn stream_from(&self, offset: usize) -> Vec<u8> {
        let (mut bytes, mut end) = (Vec::new(), 0);
        for part in &self.answer {
            end += part.len();
            let fresh = end.saturating_sub(offset).min(part.len());
            if fresh > 0 {
                let chunk = ByteChunk::from(&part[part.len() - fresh..]);
                let event = SseEvent { offset: end as u64, kind: SseKind::Part(chunk) };
                event.encode(&mut bytes);
            }
        }
        SseEvent { offset: end as u64, kind: SseKind::End }.encode(&mut bytes);
        bytes
    }

    /// Reads a connection that is cut after `length` bytes, through the real parser.
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
            next.ended |= self.variant == AnswerVariant::CutIsEnd;
        }
        next
    }
}

impl SpecWorld for AnswerWorld {
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
        let wrong = self.ended && self.text != self.whole();
        wrong.then(|| format!("the reader took {:?} for the whole answer", self.text))
    }

    fn step_name(&self) -> String {
        self.step.clone()
    }
}
