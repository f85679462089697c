//! Rows of the two tables and their TOML form.

use std::{collections::BTreeSet, fmt};

use base_types::{HostName, PoolIdentity, PoolName, RouteName, TeamName, key_types, value_types};
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};

key_types! {
    /// What the targets of a pool are.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// Model engines that stream tokens.
        Engine,
        /// Plain services.
        Service,
    }
}

value_types! {
    /// What the model engines of a pool are to serve.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServingSpec {
        /// Name of the model.
        pub model: Box<str>,
        /// Version of its weights.
        pub version: Box<str>,
        /// Adapters to load beside it.
        #[serde(default)]
        pub adapters: BTreeSet<Box<str>>,
        /// Role of the engine, such as `prefill`; empty for all work.
        #[serde(default)]
        pub role: Box<str>,
    }

    /// A route: requests whose path starts with a prefix go to a pool.
    #[serde(deny_unknown_fields)]
    pub struct RouteRow {
        /// Name of the route.
        pub name: RouteName,
        /// Team that owns the row.
        pub team: TeamName,
        /// Prefix of the paths that the route matches; the longest match wins.
        pub path: Box<str>,
        /// Pool that serves the route.
        pub pool: PoolName,
        /// Time a request may take when its caller names none, in milliseconds.
        #[serde(default = "default_deadline_ms")]
        pub deadline_ms: u64,
    }

    /// A pool: the targets of one host group and how load is spread over them.
    #[serde(deny_unknown_fields)]
    pub struct PoolRow {
        /// Name of the pool.
        pub name: PoolName,
        /// Team that owns the row.
        pub team: TeamName,
        /// Group in the platform's host list whose hosts are the pool's targets.
        pub group: Box<str>,
        /// What the targets are.
        pub kind: ServiceKind,
        /// Whether a call may be repeated after it was sent.
        pub repeatable: bool,
        /// Multiple of the mean load that no target may exceed.
        #[serde(default = "default_load_ratio")]
        pub max_load_ratio: f64,
        /// Place between even load (0) and kept prompt caches (1).
        #[serde(default = "default_reuse_bias")]
        pub reuse_bias: f64,
        /// Tokens a second of one client account over all routers; zero is no limit.
        #[serde(default)]
        pub account_token_rate: u32,
        /// Requests that one target runs at once.
        #[serde(default = "default_target_slots")]
        pub target_slots: u32,
        /// Targets that an operator drains; they get no new work.
        #[serde(default)]
        pub drained: BTreeSet<HostName>,
        /// Leading bytes of the prompt that name its prefix group.
        #[serde(default = "default_prefix_bytes")]
        pub prefix_bytes: u32,
        /// What the pool's engines are ordered to serve; absent to give no orders.
        #[serde(default)]
        pub serving: Option<ServingSpec>,
        /// Whether an engine may be ordered to load although less than a majority then serves.
        #[serde(default)]
        pub may_interrupt: bool,
        /// Identity given when the pool was created; absent in an operator's file.
        #[serde(default)]
        pub identity: Option<PoolIdentity>,
    }
}

#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
/// A TOML file with rows of both tables.
pub struct TableFile {
    /// Rows of the routes table.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteRow>,
    /// Rows of the pools table.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolRow>,
}

/// The text is not a table file.
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
