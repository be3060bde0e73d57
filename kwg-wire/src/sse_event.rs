use kwg_model::ByteChunk;

/// One event of an answer's stream, as targets send it and callers get it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The offset behind the event's bytes: what a reader names to resume.
    pub offset: u64,
    /// What the event says.
    pub kind: SseKind,
}

/// What an event says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseKind {
    /// Bytes of the answer.
    Part(ByteChunk),
    /// The answer is whole; its length is the event's offset.
    End,
    /// There will be no whole answer: the outcome and its reason.
    Failed(String),
}

/// The field value that marks bytes which are not text.
pub(crate) const BYTES_EVENT: &str = "bytes";
pub(crate) const END_EVENT: &str = "end";
pub(crate) const FAILED_EVENT: &str = "failed";

impl SseEvent {
    /// Appends the event to a stream. Text goes as a JSON string, other bytes as a JSON array.
    ///
    /// ```
    /// use kwg_wire::{SseEvent, SseKind};
    ///
    /// let mut bytes = Vec::new();
    /// let part = SseKind::Part(b"hi\n".as_slice().into());
    /// SseEvent { offset: 3, kind: part }.encode(&mut bytes);
    /// assert_eq!(bytes, b"id: 3\ndata: \"hi\\n\"\n\n");
    /// ```
    pub fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(b"id: ");
        bytes.extend_from_slice(self.offset.to_string().as_bytes());
        match &self.kind {
            SseKind::Part(chunk) => match std::str::from_utf8(chunk) {
                Ok(text) => push_json(bytes, None, &text),
                Err(_) => push_json(bytes, Some(BYTES_EVENT), &chunk.to_vec()),
            },
            SseKind::End => push_json(bytes, Some(END_EVENT), &self.offset),
            SseKind::Failed(reason) => push_json(bytes, Some(FAILED_EVENT), reason),
        }
    }
}

fn push_json(bytes: &mut Vec<u8>, event: Option<&str>, data: &impl serde::Serialize) {
    if let Some(event) = event {
        bytes.extend_from_slice(b"\nevent: ");
        bytes.extend_from_slice(event.as_bytes());
    }
    bytes.extend_from_slice(b"\ndata: ");
    serde_json::to_writer(&mut *bytes, data).expect("text and numbers encode into memory");
    bytes.extend_from_slice(b"\n\n");
}
