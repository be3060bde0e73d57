/// Computes the answer to a request: every stand-in target gives it, so callers can check theirs.
#[derive(Debug, Clone, Copy)]
pub struct ReferenceAnswer;

impl ReferenceAnswer {
    /// The token at `index` of the answer to `body`, with a trailing space.
    #[must_use]
    pub fn token(body: &[u8], index: u32) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(body).update(&index.to_le_bytes());
        format!("{} ", &hasher.finalize().to_hex()[..6])
    }

    /// The whole answer to `body`, `tokens` tokens long.
    ///
    /// ```
    /// use kwg_standin::ReferenceAnswer;
    ///
    /// assert_eq!(ReferenceAnswer::text(b"prompt", 3).len(), 3 * 7);
    /// ```
    #[must_use]
    pub fn text(body: &[u8], tokens: u32) -> String {
        (0..tokens).map(|index| Self::token(body, index)).collect()
    }
}
