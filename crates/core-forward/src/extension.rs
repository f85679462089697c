//! Facts that routers send each other beside the frozen layouts of heartbeats and snapshots.
//!
//! A record that is absent says nothing about its fact: the sender may be of a build that does not know it.

use base_types::{key_types, value_types};

use crate::FragileNotice;

key_types! {
    /// A target that is cold: it takes few calls until its caches are warm.
    pub struct ColdNotice {
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// Milliseconds for which the target stays cold.
        pub left_ms: u32,
    }

    /// How a router finds a target to perform, relative to its pool.
    pub struct SpeedNotice {
        /// Hash of the target's name and incarnation.
        pub target_hash: u64,
        /// Time that work takes on the target, in percent of the pool's median.
        pub slowdown_percent: u16,
        /// Calls that the target takes at once without slowing down.
        pub limit: u16,
        /// Measurements behind the notice since the previous one.
        pub samples: u16,
    }

    /// What a router can carry, and how much of it is used.
    pub struct RouterCapacity {
        /// Calls per second that the router can carry; routers compare it with the median of all.
        pub weight: u32,
        /// Use of the resource that is used most, in percent, averaged over some seconds. Moved by the
        /// sender to where it stands for the sender's load class.
        pub load_percent: u16,
    }

    /// Calls that wait in a router for a target of a pool.
    pub struct WaitingNotice {
        /// Hash of the pool's name.
        pub pool_hash: u64,
        /// Calls that wait.
        pub calls: u16,
    }
}

value_types! {
    /// Failure domains that the operator has evacuated.
    #[derive(Eq)]
    pub struct EvacuationNotice {
        /// [`ChangeOrder`](crate::ChangeOrder) at which exactly these were.
        pub revision: u64,
        /// Names of the failure domains.
        pub domains: Vec<Box<str>>,
    }

    /// Records of a heartbeat beside its frozen layout.
    #[derive(Eq, Default)]
    pub struct HeartbeatExtension {
        /// Targets that are cold.
        pub cold_targets: Vec<ColdNotice>,
        /// Evacuated failure domains; absent where the sender does not know them.
        pub evacuations: Option<EvacuationNotice>,
        /// What the sender measured of targets.
        pub speeds: Vec<SpeedNotice>,
        /// Capacity of the sender; absent where its settings state none.
        pub capacity: Option<RouterCapacity>,
        /// Calls that wait in the sender.
        pub waiting: Vec<WaitingNotice>,
        /// Pools whose targets are fragile.
        pub fragile_pools: Vec<FragileNotice>,
        /// Whether the platform refuses what the sender records, so that another router is to be the recorder.
        pub record_refused: bool,
        /// Version of the configuration in force at the sender; absent while it has none.
        pub config_version: Option<u64>,
    }

    /// Records of a snapshot beside its frozen layout.
    #[derive(Eq, Default)]
    pub struct SnapshotExtension {
        /// Targets that are cold.
        pub cold_targets: Vec<ColdNotice>,
        /// Calls per thousand seconds that a cold target takes, by the hash of the pool's name.
        pub cold_rates: Vec<(u64, u32)>,
        /// Evacuated failure domains; absent where the sender does not know them.
        pub evacuations: Option<EvacuationNotice>,
        /// What the sender knows of targets.
        pub speeds: Vec<SpeedNotice>,
        /// Pools whose targets are fragile.
        pub fragile_pools: Vec<FragileNotice>,
    }
}
