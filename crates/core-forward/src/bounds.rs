//! Limits for the whole fleet.

use std::time::Duration;

use base_types::message_types;

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
        /// Whether engines without room in their caches for a call are chosen only if no other has room.
        pub engine_memory_guard: bool,
    }
}
