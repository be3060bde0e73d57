use kwg_model::ByteChunk;

/// Event of an answer's stream, both from targets and to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// The offset after the event's bytes, from which a reader can resume.
    pub offset: u64,
    /// The kind and payload of the event.
    pub kind: SseKind,
}

/// Kind and payload of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseKind {
    /// Bytes of the answer.
    Part(ByteChunk),
    /// The answer is complete; its length is the event's offset.
    End,
    /// The answer failed, with the outcome and its reason.
    Failed(String),
}

/// Event name of a part that is not valid UTF-8.
pub(crate) const BYTES_EVENT: &str = "bytes";
pub(crate) const END_EVENT: &str = "end";
pub(crate) const FAILED_EVENT: &str = "failed";

impl SseEvent {
    /// Appends the encoded event to `bytes`.
    ///
    /// Text is encoded as a JSON string, other bytes as a JSON array.
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
    serde_json::to_writer(&mut *bytes, data)
        .expect("serializing text and numbers into memory succeeds");
    bytes.extend_from_slice(b"\n\n");
}
