//! Entries that every router is to hold.

use base_types::{HostEntry, HostName, value_types};
use state_membership::{MemberKey, MemberRecord};
use state_spreading::Versioned;
use state_tables::{RowChange, RowKey};
use xxhash_rust::xxh3;

const ROUTE_SEED: u64 = 1;
const POOL_SEED: u64 = 2;
const HOST_SEED: u64 = 3;

value_types! {
    /// A row of the platform's host list as the routers agreed on it.
    #[derive(Eq)]
    pub struct HostChange {
        /// Name of the host.
        pub name: HostName,
        /// Raised by a router that saw the platform's row change, as the list has no versions.
        pub stamp: u64,
        /// The row; absent when the list no longer names the host.
        pub row: Option<HostEntry>,
    }

    /// One entry that spreads.
    pub enum SpreadEntry {
        /// A member.
        Member(MemberRecord),
        /// A row of the tables, or its tombstone.
        Row(RowChange),
        /// A row of the host list.
        Host(HostChange),
    }
}

impl HostChange {
    /// The stamp, then a hash of the row: two routers may give one stamp to different rows.
    fn version(&self) -> u64 {
        const HASH_BITS: u32 = 16;
        let row = postcard::to_stdvec(&self.row).unwrap_or_default();
        (self.stamp << HASH_BITS) | (xxh3::xxh3_64(&row) & ((1 << HASH_BITS) - 1))
    }
}

impl SpreadEntry {
    /// Key of a member's entry.
    pub(crate) fn member_key(member: MemberKey) -> u64 {
        member.0
    }

    /// Key of a table row's entry.
    pub(crate) fn row_key(key: &RowKey) -> u64 {
        match key {
            RowKey::Route(name) => seeded(name.as_str(), ROUTE_SEED),
            RowKey::Pool(name) => seeded(name.as_str(), POOL_SEED),
        }
    }

    /// Key of a host's entry.
    pub(crate) fn host_key(name: &HostName) -> u64 {
        seeded(name.as_str(), HOST_SEED)
    }
}

impl Versioned for SpreadEntry {
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

    fn is_in_first_group(&self) -> bool {
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

fn seeded(name: &str, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}
