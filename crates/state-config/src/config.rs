//! The fleet configuration and its look-ups by account key and host.

use std::{collections::BTreeMap, time::Duration};

use base_types::{AccountName, PoolName, key_types, value_types};

use crate::{AccountRule, KeyDigest, RouteRule};

key_types! {
    /// Version of a configuration; versions increase, not necessarily by one.
    pub struct ConfigVersion(pub u64);

    /// Capacity of each engine of a pool.
    pub struct EngineRule {
        /// Requests that one engine runs concurrently.
        pub slots: u32,
        /// Prompt and output tokens that fit into the cache of one engine.
        pub cache_tokens: u64,
    }

    /// What the targets of a pool take after their start.
    pub struct ColdRule {
        /// Calls per thousand seconds that a cold target takes.
        pub rate: u32,
        /// Time for which a target is cold after it started while the fleet serves.
        pub time: Duration,
    }

    /// Limits on the requests and connections of callers.
    pub struct CallerLimits {
        /// Maximum size of a request head in bytes.
        pub head_bytes_max: usize,
        /// Maximum size of a request body in bytes.
        pub body_bytes_max: usize,
        /// Time limit for receiving a request head; not enforced by the router, which applies
        /// `idle_timeout` to heads.
        pub head_timeout: Duration,
        /// Time after which an idle connection, or one with an incomplete request head, is closed.
        pub idle_timeout: Duration,
    }
}

value_types! {
    /// A pool of interchangeable targets.
    #[derive(Eq)]
    pub struct PoolRule {
        /// Name of the pool, by which routes refer to it.
        pub name: PoolName,
        /// Connections that one target accepts from all routers together; not enforced by the
        /// router.
        pub connections_max: u32,
        /// Capacity of the targets; set only if they are model engines.
        pub engine: Option<EngineRule>,
        /// What cold targets take; `None` if they take as much as others. Not part of the frozen layout of
        /// snapshots.
        #[serde(skip)]
        pub cold: Option<ColdRule>,
    }
}

value_types! {
    /// The complete configuration at one version.
    #[derive(Eq)]
    pub struct FleetConfig {
        /// Version of this configuration.
        pub version: ConfigVersion,
        /// Pools by name.
        pub pools: BTreeMap<PoolName, PoolRule>,
        /// Limits on the requests and connections of callers.
        pub limits: CallerLimits,
        pub(crate) routes: BTreeMap<Box<str>, Vec<RouteRule>>,
        accounts: Option<BTreeMap<KeyDigest, (AccountName, Option<u8>)>>,
    }
}

impl FleetConfig {
    /// Builds the look-up tables of a configuration; without `accounts` no call needs a key. Of
    /// pools with the same name, and of accounts with the same key, the last one wins.
    pub fn new(
        version: ConfigVersion,
        pools: Vec<PoolRule>,
        routes: Vec<RouteRule>,
        accounts: Option<Vec<AccountRule>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: BTreeMap<Box<str>, Vec<RouteRule>> = BTreeMap::new();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(route);
        }
        Self {
            version,
            pools: pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect(),
            limits,
            routes: routes_by_host,
            accounts: accounts.map(index_by_key),
        }
    }

    /// Whether calls need an account key, except on public routes.
    pub fn requires_account_key(&self) -> bool {
        self.accounts.is_some()
    }

    /// The account with the given key, and its rank if configured.
    pub fn account(&self, key: KeyDigest) -> Option<(&AccountName, Option<u8>)> {
        let (name, rank) = self.accounts.as_ref()?.get(&key)?;
        Some((name, *rank))
    }

    /// Routes configured for a host; empty for an unknown host.
    pub fn routes_for_host(&self, host: &str) -> &[RouteRule] {
        self.routes.get(host).map_or(&[], Vec::as_slice)
    }

    /// Number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn index_by_key(accounts: Vec<AccountRule>) -> BTreeMap<KeyDigest, (AccountName, Option<u8>)> {
    let mut keys = BTreeMap::new();
    for account in accounts {
        for key in account.keys {
            keys.insert(key, (account.name.clone(), account.rank));
        }
    }
    keys
}
