//! Client accounts and their keys.

use base_types::{AccountName, key_types, value_types};
use sha2::{Digest, Sha256};

key_types! {
    /// SHA-256 digest of an account key; the key itself is not stored.
    pub struct KeyDigest([u8; 32]);
}

value_types! {
    /// A client account and the keys that authenticate its calls.
    #[derive(Eq)]
    pub struct AccountRule {
        /// Name of the account, which targets receive with its calls.
        pub name: AccountName,
        /// Digests of the keys that identify the account; any of them is accepted.
        pub keys: Vec<KeyDigest>,
        /// Rank of the account's calls, zero first; overrides the rank of a route.
        pub rank: Option<u8>,
    }
}

impl KeyDigest {
    /// Computes the digest of a key, without the `Bearer ` prefix.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}
