/// The answer that every stand-in engine gives to a request, so that callers can check theirs.
#[derive(Debug, Clone, Copy)]
pub struct ReferenceAnswer;

impl ReferenceAnswer {
    /// The token at a place of the answer.
    #[must_use]
    pub fn token(body: &[u8], index: u32) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(body).update(&index.to_le_bytes());
        format!("{} ", &hasher.finalize().to_hex()[..6])
    }

    /// The whole answer.
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
