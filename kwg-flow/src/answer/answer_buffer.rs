use kwg_model::ByteChunk;

/// Bytes received of an answer. An answer is complete only once its length has been confirmed.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerBuffer {
    bytes: Vec<u8>,
    end: Option<u64>,
}

impl AnswerBuffer {
    /// Returns the number of bytes received.
    pub(crate) fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Returns the answer's length in bytes once it is complete.
    pub(crate) fn end(&self) -> Option<u64> {
        self.end
    }

    /// Appends the part of a chunk starting at `offset` that is not in the buffer yet.
    ///
    /// Returns `false` if the chunk would leave a gap.
    pub(crate) fn append(&mut self, offset: u64, chunk: &ByteChunk) -> bool {
        let Some(overlap) = self.len().checked_sub(offset) else {
            return false;
        };
        if let Some(fresh) = usize::try_from(overlap).ok().and_then(|overlap| chunk.get(overlap..))
        {
            self.bytes.extend_from_slice(fresh);
        }
        true
    }

    /// Marks the answer complete.
    ///
    /// Returns `false` if `length` differs from the number of bytes received.
    pub(crate) fn finish(&mut self, length: u64) -> bool {
        if length != self.len() {
            return false;
        }
        self.end = Some(length);
        true
    }

    /// Returns all bytes from `offset` on, or `None` if there are none.
    pub(crate) fn read_from(&self, offset: u64) -> Option<ByteChunk> {
        let offset = usize::try_from(offset).ok()?;
        let bytes = self.bytes.get(offset..)?;
        (!bytes.is_empty()).then(|| ByteChunk::from(bytes))
    }
}
