use kwg_model::ByteChunk;

/// The bytes of an answer so far. The end is explicit: a buffer that just stops is not whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerBuffer {
    bytes: Vec<u8>,
    end: Option<u64>,
}

impl AnswerBuffer {
    /// How many bytes there are.
    pub(crate) fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// The answer's length, once it is whole.
    pub(crate) fn end(&self) -> Option<u64> {
        self.end
    }

    /// Appends what is new of a chunk that begins at `offset`; `false` if bytes are missing
    /// before it.
    pub(crate) fn append(&mut self, offset: u64, chunk: &ByteChunk) -> bool {
        let Some(known) = self.len().checked_sub(offset) else {
            return false;
        };
        if let Some(fresh) = usize::try_from(known).ok().and_then(|known| chunk.get(known..)) {
            self.bytes.extend_from_slice(fresh);
        }
        true
    }

    /// Marks the end; `false` if the length does not match the bytes.
    pub(crate) fn finish(&mut self, length: u64) -> bool {
        if length != self.len() {
            return false;
        }
        self.end = Some(length);
        true
    }

    /// Everything from `offset` on, if there is anything.
    pub(crate) fn read_from(&self, offset: u64) -> Option<ByteChunk> {
        let offset = usize::try_from(offset).ok()?;
        let bytes = self.bytes.get(offset..)?;
        (!bytes.is_empty()).then(|| ByteChunk::from(bytes))
    }
}
