//! Rows of the two tables and their TOML form.

use std::{collections::BTreeSet, fmt};

use base_types::{HostName, PoolIdentity, PoolName, RouteName, TeamName, key_types, value_types};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

key_types! {
    /// Kind of the targets of a pool.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// Model engines that stream tokens.
        Engine,
        /// Plain services.
        Service,
    }
}

value_types! {
    /// Desired model of the engines of a pool.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServingSpec {
        /// Name of the model.
        pub model: Box<str>,
        /// Version of the model's weights.
        pub version: Box<str>,
        /// Adapters to load together with the model.
        #[serde(default)]
        pub adapters: BTreeSet<Box<str>>,
        /// Role of the engine, such as `prefill`; empty if it does all work.
        #[serde(default)]
        pub role: Box<str>,
    }

    /// A route: sends requests whose path starts with a prefix to a pool.
    #[serde(deny_unknown_fields)]
    pub struct RouteRow {
        /// Name of the route.
        pub name: RouteName,
        /// Team that owns the row.
        pub team: TeamName,
        /// Path prefix that the route matches; the route with the longest match wins.
        pub path: Box<str>,
        /// Pool that serves the route.
        pub pool: PoolName,
        /// Deadline of a request whose caller sets none, in milliseconds.
        #[serde(default = "default_deadline_ms")]
        pub deadline_ms: u64,
    }

    /// A pool: the targets of one host group and how load is balanced over them.
    #[serde(deny_unknown_fields)]
    pub struct PoolRow {
        /// Name of the pool.
        pub name: PoolName,
        /// Team that owns the row.
        pub team: TeamName,
        /// Group in the platform's host list whose hosts are the pool's targets.
        pub group: Box<str>,
        /// Kind of the targets.
        pub kind: ServiceKind,
        /// Whether a call may be retried after it was sent.
        pub repeatable: bool,
        /// Upper bound of a target's load, as a multiple of the mean load.
        #[serde(default = "default_load_ratio")]
        pub max_load_ratio: f64,
        /// Trade-off between even load (0) and reuse of prompt caches (1).
        #[serde(default = "default_reuse_bias")]
        pub reuse_bias: f64,
        /// Tokens per second that one client account may use over all routers; zero for no limit.
        #[serde(default)]
        pub account_token_rate: u32,
        /// Requests that one target runs concurrently.
        #[serde(default = "default_target_slots")]
        pub target_slots: u32,
        /// Targets that an operator drains; they get no new requests.
        #[serde(default)]
        pub drained: BTreeSet<HostName>,
        /// Number of leading bytes of a prompt that determine its prefix group.
        #[serde(default = "default_prefix_bytes")]
        pub prefix_bytes: u32,
        /// Model that the pool's engines are ordered to serve; absent to give no orders.
        #[serde(default)]
        pub serving: Option<ServingSpec>,
        /// Whether an engine may be ordered to load even if fewer than a majority then serve.
        #[serde(default)]
        pub may_interrupt: bool,
        /// Identity assigned when the pool is created; absent in an operator's file.
        #[serde(default)]
        pub identity: Option<PoolIdentity>,
    }
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
/// Contents of a TOML file with rows of both tables.
pub struct TableFile {
    /// Rows of the routes table.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRow>,
    /// Rows of the pools table.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolRow>,
}

/// Error for text that is not a valid table file.
#[derive(Debug)]
pub struct TableFileError;

impl fmt::Display for TableFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the table file cannot be parsed")
    }
}

impl std::error::Error for TableFileError {}

impl TableFile {
    /// Parses the TOML text of a table file.
    pub fn parse(text: &str) -> Result<Self, Report<TableFileError>> {
        toml::from_str(text).change_context(TableFileError)
    }
}

fn default_deadline_ms() -> u64 {
    120_000
}

fn default_load_ratio() -> f64 {
    1.5
}

fn default_reuse_bias() -> f64 {
    0.5
}

fn default_target_slots() -> u32 {
    16
}

fn default_prefix_bytes() -> u32 {
    1024
}
