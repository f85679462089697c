//! Detours: calls that are sent through another router, because this one cannot reach the targets.

use std::net::SocketAddr;

use base_types::{HostName, PoolName, TimePoint, key_types, message_types};
use policy_routing::stable_hash;
use state_config::ConfigVersion;

message_types! {
    /// Instructions for sending a call through another router.
    pub struct DetourSpec {
        /// The other router.
        pub router: HostName,
        /// Address at which it serves callers.
        pub address: SocketAddr,
        /// Key that shows it that the call comes from a router.
        pub key: Box<str>,
        /// Attempts of the call so far that count against its limit.
        pub attempts: u32,
        /// Version of the configuration that the call was admitted under.
        pub version: ConfigVersion,
        /// Time at which the call is given up.
        pub deadline: TimePoint,
    }

    /// What a request head says of a detour that the call has made. The key shows whether it is true.
    pub struct DetourClaim {
        /// Key of the router that receives the call.
        pub key: Box<str>,
        /// Attempts of the call at the router that sent it.
        pub attempts: u32,
        /// Version of the configuration that it was admitted under there; `None` if that router's build does not say.
        pub version: Option<ConfigVersion>,
    }
}

key_types! {
    /// How a detour ended.
    pub enum DetourOutcome {
        /// The other router did not accept a connection; the call was not sent.
        Unsent,
        /// The other router has an older configuration than the call was admitted under, and did not run it.
        Outdated,
        /// The connection broke, or the deadline passed.
        Lost,
        /// The other router answered.
        Answered,
    }
}

impl DetourOutcome {
    /// Returns the value used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Outdated => "outdated",
            Self::Lost => "lost",
            Self::Answered => "answered",
        }
    }
}

/// State of a call that concerns detours.
#[derive(Debug, Default)]
pub(crate) struct CallDetour {
    /// Whether the call can make no detour any more: it made one, here or on its way to this router, or
    /// its response was forwarded.
    pub(crate) is_over: bool,
    /// Routers that the call was offered to.
    pub(crate) offered: Vec<HostName>,
    /// Whether the last of them has the call.
    pub(crate) is_in_flight: bool,
}

impl CallDetour {
    /// State of a new call.
    pub(crate) fn new(is_from_router: bool) -> Self {
        Self { is_over: is_from_router, ..Self::default() }
    }
}

/// Identifies a pool in heartbeats.
pub(crate) fn pool_hash(pool: &PoolName) -> u64 {
    stable_hash(pool.as_str().as_bytes())
}
