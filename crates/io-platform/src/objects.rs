//! Request and response types of the platform's API.

use std::net::SocketAddr;

use base_types::{FailureDomainName, HostName, RowVersion, key_types, name_types, value_types};
use serde_json::Value;

use crate::json_text::readable_elements;

name_types! {
    /// Key of an object, such as `pools/assistant`; lists and watches select objects by key prefix.
    ObjectKey;
}

key_types! {
    /// Precondition of a write; the platform rejects the write when it does not hold.
    pub enum WriteCondition {
        /// The object must not exist.
        Absent,
        /// The object must have this version.
        Version(RowVersion),
    }
}

value_types! {
    /// State of an object at one version.
    pub struct ObjectRecord {
        /// Key that identifies the object.
        pub key: ObjectKey,
        /// Platform revision at which the object was last written or deleted.
        pub version: RowVersion,
        /// Content of the object; absent when this version is a deletion.
        pub value: Option<Value>,
    }

    /// All objects whose keys start with a prefix, at one revision.
    pub struct ObjectList {
        /// Revision at which the list was read; the next watch starts here.
        pub revision: RowVersion,
        /// Objects in ascending order of their keys.
        #[serde(deserialize_with = "readable_elements")]
        pub objects: Vec<ObjectRecord>,
    }

    /// Changes since a given revision; empty when none came while the watch waited.
    pub struct WatchAnswer {
        /// Revision from which the next watch starts.
        pub revision: RowVersion,
        /// Changed objects in ascending order of their versions.
        #[serde(deserialize_with = "readable_elements")]
        pub events: Vec<ObjectRecord>,
    }

    /// Answer to a write that took effect.
    pub struct WriteAnswer {
        /// Version of the object after the write.
        pub version: RowVersion,
    }

    /// The platform's list of hosts, which lags behind the actual state.
    pub struct HostList {
        /// All hosts of the fleet: routers and targets.
        #[serde(deserialize_with = "readable_elements")]
        pub hosts: Vec<HostRow>,
    }

    /// One host in the list, as sent by the platform.
    pub struct HostRow {
        /// Name of the host, unique in the list.
        pub name: HostName,
        /// `entry` for a router, `target` for a target.
        pub role: Box<str>,
        /// Label by which a pool selects its targets.
        pub group: Box<str>,
        /// IP address and port at which the host takes requests, not yet validated.
        pub address: Box<str>,
        /// Address at which a router accepts links from other routers; absent on targets.
        #[serde(default)]
        pub peer: Option<SocketAddr>,
        /// Failure domain that the host is in.
        pub failure_domain: FailureDomainName,
        /// `live` for a host in service, `leaving` for one that is about to be removed.
        pub state: Box<str>,
    }
}
