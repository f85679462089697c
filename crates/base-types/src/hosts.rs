//! Rows of the platform's host list.

use std::net::SocketAddr;

use crate::{DomainName, HostName, key_types, value_types};

key_types! {
    /// What a host of the platform's list runs.
    #[serde(rename_all = "kebab-case")]
    pub enum HostRole {
        /// A router.
        Entry,
        /// A target.
        Target,
    }

    /// Whether a host stays.
    #[serde(rename_all = "kebab-case")]
    pub enum HostState {
        /// The host takes work.
        Live,
        /// The host is about to go.
        Leaving,
    }
}

value_types! {
    /// A row of the platform's host list.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct HostEntry {
        /// Name of the host.
        pub name: HostName,
        /// What the host runs.
        pub role: HostRole,
        /// Group that pools select by.
        pub group: Box<str>,
        /// IP address and port.
        pub address: Box<str>,
        /// Address that other routers connect to; only on entry hosts.
        pub peer: Option<SocketAddr>,
        /// Failure domain of the host.
        pub failure_domain: DomainName,
        /// Whether the host stays.
        pub state: HostState,
    }
}
