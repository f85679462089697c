//! Names of configured things and keys of things in arenas.

use xxhash_rust::xxh3;

use crate::{key_types, name_types};

name_types! {
    /// Name of a route row.
    RouteName;
    /// Name of a pool row.
    PoolName;
    /// Name of a client account.
    AccountName;
    /// Name of a chat, given by its caller.
    ChatName;
    /// Name of a host, of a router or of a target.
    HostName;
    /// Name of a failure domain.
    DomainName;
    /// Name of a team that owns rows.
    TeamName;
    /// Name of an operator.
    OperatorName;
    /// Idempotency key of a non-idempotent operation, given by its caller.
    OperationName;
}

key_types! {
    /// Key of a target in the arena of targets.
    pub struct TargetKey(pub u32);

    /// Key of a request, unique across routers and restarts.
    pub struct RequestKey(pub u128);

    /// Key of one attempt to serve a request, unique across routers and restarts.
    pub struct AttemptKey(pub u128);

    /// Version of a table row; the platform's revision that wrote it.
    pub struct RowVersion(pub u64);

    /// Identity of a pool; a pool deleted and created anew has another one.
    pub struct PoolIdentity(pub u64);

    /// Digest of the content of a request.
    pub struct ContentDigest(pub u128);
}

impl ContentDigest {
    /// Digests the bytes of a request body.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3::xxh3_128(content))
    }

    /// Digests parts one after the other; each part's length counts, so that no two lists are alike.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}
