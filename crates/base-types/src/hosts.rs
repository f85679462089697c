//! Entries of the platform's host list.

use std::net::SocketAddr;

use crate::{FailureDomainName, HostName, key_types, value_types};

key_types! {
    /// What a host in the platform's list runs.
    #[serde(rename_all = "kebab-case")]
    pub enum HostRole {
        /// A router, through which callers reach the fleet.
        #[serde(rename = "entry")]
        Router,
        /// A target, which runs the requests that routers forward.
        Target,
    }

    /// Whether the platform keeps a host or is removing it.
    #[serde(rename_all = "kebab-case")]
    pub enum HostState {
        /// The host is in service.
        Live,
        /// The host is about to be removed: it finishes its work and gets no new work.
        Leaving,
    }
}

value_types! {
    /// One host in the platform's host list.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct HostEntry {
        /// Name of the host, unique in the list.
        pub name: HostName,
        /// Whether the host is a router or a target.
        pub role: HostRole,
        /// Label by which a pool selects its targets.
        pub group: Box<str>,
        /// IP address and port at which the host takes requests, as text that is not yet validated.
        pub address: Box<str>,
        /// Address at which a router accepts links from other routers; absent on targets.
        pub peer: Option<SocketAddr>,
        /// Failure domain that the host is in; hosts of one domain may fail together.
        pub failure_domain: FailureDomainName,
        /// Whether the host is in service or about to be removed.
        pub state: HostState,
    }
}
