use std::fmt;

/// Length of a seal, in bytes.
pub(crate) const SEAL_BYTES: usize = 16;

/// The fleet's secret key, which authenticates tickets and resume tokens.
///
/// ```
/// use kwg_model::SealKey;
///
/// let key = SealKey::derive("a shared secret");
/// assert_ne!(key, SealKey::derive("another one"));
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct SealKey([u8; 32]);

impl SealKey {
    /// Derives the key from the secret in the settings.
    #[must_use]
    pub fn derive(secret: impl AsRef<str>) -> Self {
        Self(blake3::derive_key("knapweedglade 2026 ticket seal", secret.as_ref().as_bytes()))
    }

    /// Returns the MAC of `payload`, truncated to the length of a seal.
    ///
    /// `purpose` separates the seals of different kinds of record.
    pub(crate) fn seal(&self, purpose: u8, payload: &[u8]) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[purpose]).update(payload);
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }

    /// Returns whether `seal` is the seal of the payload, comparing in constant time.
    pub(crate) fn verifies(&self, purpose: u8, payload: &[u8], seal: &[u8]) -> bool {
        let expected = self.seal(purpose, payload);
        let diff_bits =
            expected.iter().zip(seal).fold(0, |bits, (left, right)| bits | (left ^ right));
        seal.len() == SEAL_BYTES && diff_bits == 0
    }
}

impl fmt::Debug for SealKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SealKey(..)")
    }
}
