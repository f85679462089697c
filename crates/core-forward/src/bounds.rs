//! Limits for the whole fleet.

use std::time::Duration;

use base_types::{AdaptiveCapacity, message_types};

message_types! {
    /// Limits for the whole fleet, set by its operator.
    #[derive(Copy)]
    pub struct ForwardBounds {
        /// Retries allowed for each call of a pool.
        pub retry_ratio: f64,
        /// Retries allowed in a pool beyond `retry_ratio`, over all routers.
        pub retry_slack: u32,
        /// Sliding window over which calls and retries are counted.
        pub retry_window: Duration,
        /// Multiple of the pool's mean load above which other reachable targets are preferred.
        pub load_ratio_max: f64,
        /// Whether the operator evacuates failure domains, so that the list of them must be known.
        pub evacuations: bool,
        /// Calls in one second that a cold target may get, as a multiple of its rate.
        pub cold_ratio: f64,
        /// Calls in one second that a cold target may get beyond `cold_ratio`.
        pub cold_slack: u32,
        /// When the learned speed of targets is used.
        pub adaptive_capacity: AdaptiveCapacity,
        /// Whether calls that find no target with room wait in the router.
        pub queueing: bool,
        /// Whether engines without room in their caches for a call are chosen only if no other has room.
        pub engine_memory_guard: bool,
    }
}
