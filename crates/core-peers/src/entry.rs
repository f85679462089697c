//! Entries that gossip replicates to every router.

use base_types::{HostEntry, HostName, value_types};
use state_membership::{MemberKey, MemberRecord};
use state_spreading::Versioned;
use state_tables::{RowChange, RowKey};
use xxhash_rust::xxh3;

const ROUTE_SEED: u64 = 1;
const POOL_SEED: u64 = 2;
const HOST_SEED: u64 = 3;

value_types! {
    /// A version of one host's row, as the routers agree on it.
    #[derive(Eq)]
    pub struct HostChange {
        /// Name of the host.
        pub name: HostName,
        /// Sequence number of the change. The watcher that sees the platform's row change raises
        /// it, as the platform's list has no versions.
        pub sequence: u64,
        /// The row; `None` when the platform's list no longer names the host.
        pub row: Option<HostEntry>,
    }

    /// One gossiped entry.
    pub enum GossipEntry {
        /// The record of a member.
        Member(MemberRecord),
        /// A row of the route or pool table, or its tombstone.
        Row(RowChange),
        /// A row of the host list, or its removal.
        Host(HostChange),
    }
}

impl HostChange {
    /// Sequence in the high bits, hash of the row in the low ones: two watchers may give different
    /// rows the same sequence, and the hash then decides which of them wins.
    fn version(&self) -> u64 {
        const HASH_BITS: u32 = 16;
        let row = postcard::to_stdvec(&self.row).unwrap_or_default();
        (self.sequence << HASH_BITS) | (xxh3::xxh3_64(&row) & ((1 << HASH_BITS) - 1))
    }
}

impl GossipEntry {
    /// Store key of a member record.
    pub(crate) fn member_key(member: MemberKey) -> u64 {
        member.0
    }

    /// Store key of a table row.
    pub(crate) fn row_key(key: &RowKey) -> u64 {
        match key {
            RowKey::Route(name) => hash_name(name.as_str(), ROUTE_SEED),
            RowKey::Pool(name) => hash_name(name.as_str(), POOL_SEED),
        }
    }

    /// Store key of a host row.
    pub(crate) fn host_key(name: &HostName) -> u64 {
        hash_name(name.as_str(), HOST_SEED)
    }
}

impl Versioned for GossipEntry {
    fn entry_key(&self) -> u64 {
        match self {
            Self::Member(record) => Self::member_key(record.key()),
            Self::Row(change) => Self::row_key(&change.key),
            Self::Host(change) => Self::host_key(&change.name),
        }
    }

    fn entry_version(&self) -> u64 {
        match self {
            Self::Member(record) => record.version(),
            Self::Row(change) => change.version.0,
            Self::Host(change) => change.version(),
        }
    }

    fn is_in_primary_group(&self) -> bool {
        matches!(self, Self::Row(_))
    }

    fn is_in_digest(&self) -> bool {
        match self {
            Self::Member(record) => record.is_up(),
            Self::Row(_) => true,
            Self::Host(change) => change.row.is_some(),
        }
    }
}

fn hash_name(name: &str, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}
