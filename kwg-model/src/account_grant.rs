use crate::AccountName;

/// A client account and the hash of its API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountGrant {
    /// The account.
    pub name: AccountName,
    /// BLAKE3 hash of the account's key.
    pub key_hash: [u8; 32],
}

impl AccountGrant {
    /// Returns the hash under which a key is stored and looked up.
    ///
    /// ```
    /// use kwg_model::AccountGrant;
    ///
    /// assert_ne!(AccountGrant::hash_key("k"), AccountGrant::hash_key("K"));
    /// ```
    #[must_use]
    pub fn hash_key(key: &str) -> [u8; 32] {
        *blake3::hash(key.as_bytes()).as_bytes()
    }
}
