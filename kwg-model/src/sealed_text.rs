//! Text form of tickets and resume tokens: payload followed by seal, in URL-safe base64.

use data_encoding::BASE64URL_NOPAD;
use serde::{Serialize, de::DeserializeOwned};

use crate::SealKey;
use crate::seal_key::SEAL_BYTES;

/// Maximum length of an accepted text, in bytes.
const TEXT_MAX_BYTES: usize = 512;

/// Serializes and seals a record.
pub(crate) fn encode(key: &SealKey, purpose: u8, record: &impl Serialize) -> String {
    let mut bytes =
        postcard::to_stdvec(record).expect("records of names and numbers can be serialized");
    let seal = key.seal(purpose, &bytes);
    bytes.extend_from_slice(&seal);
    BASE64URL_NOPAD.encode(&bytes)
}

/// Verifies the seal and deserializes the record; returns `None` for text not sealed with `key`.
pub(crate) fn decode<R: DeserializeOwned>(key: &SealKey, purpose: u8, text: &str) -> Option<R> {
    if text.len() > TEXT_MAX_BYTES {
        return None;
    }
    let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
    let (payload, seal) = bytes.split_at_checked(bytes.len().checked_sub(SEAL_BYTES)?)?;
    if !key.verifies(purpose, payload, seal) {
        return None;
    }
    postcard::from_bytes(payload).ok()
}
