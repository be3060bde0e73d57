use std::cell::RefCell;

use kwg_adapter::CallerFault;
use kwg_h1::{BodyDecoder, BodyFraming};

/// Length of the blocks in which a body is kept until it is whole, in bytes. Blocks of one size leave no
/// gaps that other bodies can't use, unlike buffers that grow: with thousands of bodies that stop halfway,
/// those took half as much memory again.
const BLOCK_BYTES: usize = 4 << 10;

thread_local! {
    /// Where the bytes of a part are decoded before they are copied into blocks.
    static SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The body of a request while it arrives. A body that will not be used is not kept.
#[derive(Debug)]
pub(crate) struct RequestBody {
    decoder: BodyDecoder,
    /// All but the last are full.
    blocks: Vec<Vec<u8>>,
    /// Length of the body so far.
    length: usize,
    max_bytes: usize,
    is_kept: bool,
}

impl RequestBody {
    /// Begins a body.
    ///
    /// # Errors
    /// [`CallerFault::BodyTooLarge`] if its length is stated and over the limit.
    pub(crate) fn begin(
        framing: BodyFraming,
        max_bytes: usize,
        is_kept: bool,
    ) -> Result<Self, CallerFault> {
        if matches!(framing, BodyFraming::Length(length) if length > max_bytes as u64) {
            return Err(CallerFault::BodyTooLarge);
        }
        let decoder = BodyDecoder::new(framing);
        Ok(Self { decoder, blocks: Vec::new(), length: 0, max_bytes, is_kept })
    }

    /// Decodes received bytes; returns how many of them were used.
    ///
    /// # Errors
    /// The fault of a body that is malformed or over the limit.
    pub(crate) fn decode(&mut self, received: &[u8]) -> Result<usize, CallerFault> {
        SCRATCH.with_borrow_mut(|part| {
            part.clear();
            let used = self.decoder.decode(received, part).map_err(|_| CallerFault::Malformed)?;
            self.length += part.len();
            if self.length > self.max_bytes {
                return Err(CallerFault::BodyTooLarge);
            }
            if self.is_kept {
                self.keep(part);
            }
            Ok(used)
        })
    }

    fn keep(&mut self, part: &[u8]) {
        let mut rest = part;
        while !rest.is_empty() {
            if self.blocks.last().is_none_or(|block| block.len() == BLOCK_BYTES) {
                self.blocks.push(Vec::with_capacity(BLOCK_BYTES));
            }
            let Some(block) = self.blocks.last_mut() else { return };
            let (now, later) = rest.split_at(rest.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(now);
            rest = later;
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.decoder.is_done()
    }

    /// Bytes of memory that it takes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        let entries = self.blocks.capacity() * size_of::<Vec<u8>>();
        self.blocks.len() * BLOCK_BYTES + entries
    }

    /// The whole body.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.blocks.iter().map(Vec::len).sum());
        self.blocks.into_iter().for_each(|block| bytes.extend_from_slice(&block));
        bytes
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front_body.rs"]
mod tests;
