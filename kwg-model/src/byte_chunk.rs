use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A piece of an answer, shared between its readers without copying.
///
/// Serde support is written by hand, because the derived code handles each byte separately and
/// one chunk is sent for every token relayed between routers.
///
/// ```
/// use kwg_model::ByteChunk;
///
/// let chunk = ByteChunk::from(b"hello".as_slice());
/// assert_eq!(chunk.len(), 5);
/// ```
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ByteChunk(Arc<[u8]>);

impl From<&[u8]> for ByteChunk {
    fn from(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl From<Vec<u8>> for ByteChunk {
    fn from(bytes: Vec<u8>) -> Self {
        Self(Arc::from(bytes))
    }
}

impl Deref for ByteChunk {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for ByteChunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ByteChunk({} bytes)", self.0.len())
    }
}

impl Serialize for ByteChunk {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteChunk {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = ByteChunk;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<ByteChunk, E> {
        Ok(ByteChunk::from(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ByteChunk, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(ByteChunk::from(bytes))
    }
}
