use crate::AccountName;

/// A client account and the hash of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountGrant {
    /// The account.
    pub name: AccountName,
    /// BLAKE3 hash of the account's key.
    pub key_hash: [u8; 32],
}

impl AccountGrant {
    /// Whether `key` is the account's key.
    ///
    /// ```
    /// use kwg_model::{AccountGrant, AccountName};
    ///
    /// let name = AccountName::new("bank").expect("valid");
    /// let grant = AccountGrant { name, key_hash: AccountGrant::hash_key("k") };
    /// assert!(grant.accepts("k"));
    /// assert!(!grant.accepts("K"));
    /// ```
    #[must_use]
    pub fn accepts(&self, key: &str) -> bool {
        blake3::Hash::from_bytes(Self::hash_key(key)) == blake3::Hash::from_bytes(self.key_hash)
    }

    /// The hash under which a key is stored.
    #[must_use]
    pub fn hash_key(key: &str) -> [u8; 32] {
        *blake3::hash(key.as_bytes()).as_bytes()
    }
}
