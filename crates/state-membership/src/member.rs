//! Member records, and the order that decides which of two records of one member wins.

use std::{collections::BTreeMap, net::SocketAddr};

use base_types::{FailureDomainName, HostName, key_types, value_types};
use xxhash_rust::xxh3;

/// Most members that are kept; records of further ones are ignored.
const MEMBERS_MAX: usize = 8192;
/// Version numbers per incarnation; must exceed the highest `MemberState` number.
const VERSIONS_PER_INCARNATION: u64 = 8;

key_types! {
    /// Key of a member: the hash of its host name.
    pub struct MemberKey(pub u64);

    /// Lifecycle state of a member. Within one incarnation a later variant overrides an earlier
    /// one.
    pub enum MemberState {
        /// The platform lists the member, but this router has no record from it.
        Listed,
        /// The member announced that it runs.
        Alive,
        /// The member announced that it is about to stop.
        Leaving,
        /// The member was suspected and did not refute the suspicion in time.
        Failed,
        /// The member announced that it has stopped.
        Left,
    }
}

impl MemberState {
    /// State as the status page shows it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Alive => "alive",
            Self::Leaving => "leaving",
            Self::Failed => "failed",
            Self::Left => "left",
        }
    }
}

impl MemberKey {
    /// Key of the member that runs on a host.
    pub fn for_host(name: &HostName) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

value_types! {
    /// Location and addresses of a member.
    #[derive(Eq)]
    pub struct MemberRow {
        /// Name of the host.
        pub name: HostName,
        /// Failure domain of the host.
        pub failure_domain: FailureDomainName,
        /// Address that routers connect to.
        pub peer_address: SocketAddr,
        /// Address that callers connect to.
        pub caller_address: Box<str>,
    }

    /// The state of one member at one incarnation.
    #[derive(Eq)]
    pub struct MemberRecord {
        /// Location and addresses.
        pub row: MemberRow,
        /// Raised only by the member itself, at a restart, at a change of its state, and to refute
        /// reports.
        pub incarnation: u64,
        /// State at that incarnation.
        pub state: MemberState,
    }
}

impl MemberRecord {
    /// Key of the member.
    pub fn key(&self) -> MemberKey {
        MemberKey::for_host(&self.row.name)
    }

    /// Version that orders the records of one member: by incarnation, then by state.
    pub fn version(&self) -> u64 {
        self.incarnation.saturating_mul(VERSIONS_PER_INCARNATION) + self.state as u64
    }

    /// Whether the member is considered running.
    pub fn is_up(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }

    /// Whether the member may be running, so that links to it are worth keeping.
    pub fn may_run(&self) -> bool {
        self.is_up() || self.state == MemberState::Listed
    }
}

/// All members that a router knows, each with its latest record.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    records: BTreeMap<MemberKey, MemberRecord>,
}

impl MemberTable {
    /// Stores a record if its version is above the current one; returns whether it was stored.
    pub fn insert_newer(&mut self, record: MemberRecord) -> bool {
        let key = record.key();
        match self.records.get(&key) {
            Some(current) if current.version() >= record.version() => return false,
            None if self.records.len() >= MEMBERS_MAX => return false,
            _ => {}
        }
        self.records.insert(key, record);
        true
    }

    /// The record of a member.
    pub fn get(&self, key: MemberKey) -> Option<&MemberRecord> {
        self.records.get(&key)
    }

    /// Removes a member.
    pub fn remove(&mut self, key: MemberKey) {
        self.records.remove(&key);
    }

    /// All records with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }
}
