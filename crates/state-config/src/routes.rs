//! Routes: matching by host and path prefix, and weighted choice of a pool.

use std::time::Duration;

use base_types::{PoolName, RouteName, key_types, message_types, value_types};

use crate::FleetConfig;

key_types! {
    /// Whether and how the calls of a route may be retried.
    pub enum RetryRule {
        /// A call may be run more than once.
        Idempotent,
        /// A call is run at most once.
        AtMostOnce,
        /// A call is run at most once; its response is a stream of events.
        AtMostOnceStream,
        /// The response is a stream of numbered events that another target may resume after the
        /// last event received.
        ResumableStream,
    }
}

value_types! {
    /// A pool and its weight in a route.
    #[derive(Eq)]
    pub struct WeightedPool {
        /// Name of the pool.
        pub pool: PoolName,
        /// Share of the calls, relative to the sum of the route's weights.
        pub weight: u32,
    }

    /// A route: which calls it matches, where they go and how they are retried.
    #[derive(Eq)]
    pub struct RouteRule {
        /// Name of the route in logs and metrics.
        pub name: RouteName,
        /// Host that a call must name, without a port.
        pub host: Box<str>,
        /// Prefix that a path must have; must begin and end with a slash (not checked).
        pub path_prefix: Box<str>,
        /// Whether and how calls may be retried.
        pub retry_rule: RetryRule,
        /// Time limit of an entire call.
        pub timeout: Duration,
        /// Latency target for a response, or for the first event of a stream.
        pub latency_target: Duration,
        /// Rank of the calls; zero is served first.
        pub rank: u8,
        /// Pools among which calls are split by weight.
        pub pools: Vec<WeightedPool>,
        /// Maximum number of attempts per call, including the first; attempts of which nothing was
        /// sent do not count.
        pub attempts_max: u32,
        /// Whether calls are accepted without an account key.
        pub public: bool,
    }
}

message_types! {
    /// The route and pool selected for a call.
    pub struct RouteMatch<'config> {
        /// The matching route.
        pub rule: &'config RouteRule,
        /// The pool whose targets may serve the call.
        pub pool: &'config PoolName,
    }
}

impl RetryRule {
    /// Whether a call may be retried after an attempt that may have run it.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether responses are streams of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::AtMostOnceStream | Self::ResumableStream)
    }
}

impl RouteRule {
    /// Chooses a pool by weight with a hash that is uniform over calls; `None` if all weights are
    /// zero.
    pub fn pool_for(&self, hash: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|pool| u64::from(pool.weight)).sum();
        let mut offset = hash % total.max(1);
        for weighted in &self.pools {
            let weight = u64::from(weighted.weight);
            if offset < weight {
                return Some(&weighted.pool);
            }
            offset -= weight;
        }
        None
    }
}

impl RouteRule {
    /// Pools to which calls of the route are sent.
    pub fn used_pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.iter().filter(|weighted| weighted.weight > 0).map(|weighted| &weighted.pool)
    }
}

impl FleetConfig {
    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRule> {
        self.routes.values().flatten()
    }

    /// Finds the route with the longest matching prefix, and chooses its pool with the call's hash.
    /// Of routes with the same prefix, the last one wins.
    pub fn match_route(&self, host: &str, path: &str, hash: u64) -> Option<RouteMatch<'_>> {
        let routes = self.routes_for_host(host);
        let rule = routes
            .iter()
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())?;
        let pool = rule.pool_for(hash)?;
        Some(RouteMatch { rule, pool })
    }
}
