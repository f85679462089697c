//! Objects and lists as the platform's API shows them.

use std::net::SocketAddr;

use base_types::{DomainName, HostName, RowVersion, key_types, name_types, value_types};
use serde_json::Value;

name_types! {
    /// Key of an object, such as `pools/assistant`.
    ObjectKey;
}

key_types! {
    /// Condition of a write.
    pub enum WriteGuard {
        /// The object must not exist.
        Absent,
        /// The object must have this version.
        Version(RowVersion),
    }
}

value_types! {
    /// An object at one version.
    pub struct ObjectRecord {
        /// Key of the object.
        pub key: ObjectKey,
        /// Version; the platform's revision at the write.
        pub version: RowVersion,
        /// Value; absent when the object was deleted at this version.
        pub value: Option<Value>,
    }

    /// All objects below a prefix.
    pub struct ObjectList {
        /// Revision at which the list was read; a watch goes on from here.
        pub revision: RowVersion,
        /// The objects in the order of their keys.
        pub objects: Vec<ObjectRecord>,
    }

    /// Changes since a revision.
    pub struct WatchAnswer {
        /// Revision to go on from.
        pub revision: RowVersion,
        /// The changes in the order of their revisions.
        pub events: Vec<ObjectRecord>,
    }

    /// Answer to a write that took effect.
    pub struct WriteAnswer {
        /// Version that the write gave the object.
        pub version: RowVersion,
    }

    /// The platform's list of hosts; it lags.
    pub struct HostList {
        /// The hosts.
        pub hosts: Vec<HostRow>,
    }

    /// One host of the list.
    pub struct HostRow {
        /// Name of the host.
        pub name: HostName,
        /// What the host runs, `entry` or `target`.
        pub role: Box<str>,
        /// Group that pools select by.
        pub group: Box<str>,
        /// IP address and port.
        pub address: Box<str>,
        /// Address that other routers connect to; only on entry hosts.
        #[serde(default)]
        pub peer: Option<SocketAddr>,
        /// Failure domain of the host.
        pub failure_domain: DomainName,
        /// Whether the host stays, `live` or `leaving`.
        pub state: Box<str>,
    }
}
