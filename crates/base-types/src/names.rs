//! Names given by configuration or callers, and keys assigned by the system.

use xxhash_rust::xxh3;

use crate::{key_types, name_types};

name_types! {
    /// Name of a route, unique in the routes table.
    RouteName;
    /// Name of a pool, unique in the pools table.
    PoolName;
    /// Name of the client account that a request is attributed to.
    AccountName;
    /// Name of a chat, chosen by the caller and repeated with each turn.
    ChatName;
    /// Name of a host, which is also the name of the router or target that runs on it.
    HostName;
    /// Name of a failure domain: a group of hosts that may fail together.
    FailureDomainName;
    /// Name of a team, which owns table rows and whose operators may edit them.
    TeamName;
    /// Name of an operator, as configured and as shown in the audit trail.
    OperatorName;
    /// Idempotency key of a non-idempotent operation, chosen by the caller.
    OperationName;
}

key_types! {
    /// Key of a target in one router's target table; other processes do not know it.
    pub struct TargetKey(pub u32);

    /// Key of a request, unique across routers and restarts; callers see it as the request id.
    pub struct RequestKey(pub u128);

    /// Key of one attempt to serve a request, unique across routers and restarts.
    pub struct AttemptKey(pub u128);

    /// Version of a table row or stored object: the platform's revision at its last write.
    pub struct RowVersion(pub u64);

    /// Identity of a pool; a pool that is deleted and created again gets another one.
    pub struct PoolIdentity(pub u64);

    /// XXH3 digest (128 bits) of a request's content; not resistant to deliberate collisions.
    pub struct ContentDigest(pub u128);

    /// Key of a piece of a call's content that other calls may contain too: a prompt segment, or the
    /// entire request.
    pub struct ContentKey(pub u64);
}

impl ContentKey {
    /// Key of an entire request.
    pub fn of_request(content: ContentDigest) -> Self {
        Self((content.0 >> 64) as u64 ^ content.0 as u64)
    }
}

impl ContentDigest {
    /// Digest of the bytes of one body.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3::xxh3_128(content))
    }

    /// Digest of a list of byte strings. The length of each is hashed too, so that the same bytes
    /// split at other places give another digest.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}
