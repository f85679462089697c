//! Records of members and which of two records of one member stands.

use std::{collections::BTreeMap, net::SocketAddr};

use base_types::{DomainName, HostName, key_types, value_types};
use xxhash_rust::xxh3;

/// Most members that are remembered; records of further ones are ignored.
const MEMBERS_MAX: usize = 8192;
const STATES: u64 = 8;

key_types! {
    /// Key of a member: the hash of its host's name.
    pub struct MemberKey(pub u64);

    /// What is known of a member. At one incarnation a later state stands over an earlier one.
    pub enum MemberState {
        /// The platform lists it; no router has heard it.
        Listed,
        /// It said that it lives.
        Alive,
        /// It said that it is about to go.
        Leaving,
        /// It was accused and did not refute it in time.
        Failed,
        /// It said that it has gone.
        Left,
    }
}

impl MemberState {
    /// The word that operators see.
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
    /// Key of a host's name.
    pub fn of(name: &HostName) -> Self {
        Self(xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}

value_types! {
    /// Where a member is found.
    #[derive(Eq)]
    pub struct MemberRow {
        /// Name of the host.
        pub name: HostName,
        /// Failure domain of the host.
        pub failure_domain: DomainName,
        /// Address that routers connect to.
        pub peer: SocketAddr,
        /// Address that callers connect to.
        pub caller: Box<str>,
    }

    /// What is known of one member.
    #[derive(Eq)]
    pub struct MemberRecord {
        /// Where the member is found.
        pub row: MemberRow,
        /// Raised by the member alone, to refute what others say of it.
        pub incarnation: u64,
        /// State at that incarnation.
        pub state: MemberState,
    }
}

impl MemberRecord {
    /// Key of the member.
    pub fn key(&self) -> MemberKey {
        MemberKey::of(&self.row.name)
    }

    /// Rises with the incarnation and, within one, with the state.
    pub fn version(&self) -> u64 {
        self.incarnation.saturating_mul(STATES) + self.state as u64
    }

    /// Whether the member is taken to run.
    pub fn is_up(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }

    /// Whether the member may run, so that links to it are worth keeping.
    pub fn may_run(&self) -> bool {
        self.is_up() || self.state == MemberState::Listed
    }
}

/// All members that a router knows of.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    records: BTreeMap<MemberKey, MemberRecord>,
}

impl MemberTable {
    /// Adopts a record whose version is above the one held; returns whether it was adopted.
    pub fn adopt(&mut self, record: MemberRecord) -> bool {
        let key = record.key();
        match self.records.get(&key) {
            Some(held) if held.version() >= record.version() => return false,
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

    /// Drops a member that is no longer of interest.
    pub fn forget(&mut self, key: MemberKey) {
        self.records.remove(&key);
    }

    /// All records with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &MemberRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }
}
