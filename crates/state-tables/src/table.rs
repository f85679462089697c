//! The set of rows in force on one router.

use std::collections::BTreeMap;

use base_types::{PoolName, RouteName, RowVersion, value_types};

use crate::{PoolRow, RouteRow};

value_types! {
    /// Key of a row in either table.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum RowKey {
        /// A row of the routes table.
        Route(RouteName),
        /// A row of the pools table.
        Pool(PoolName),
    }

    /// What a row holds at one version.
    pub enum RowContent {
        /// A route.
        Route(RouteRow),
        /// A pool.
        Pool(PoolRow),
        /// The row was deleted at this version.
        Tombstone,
    }

    /// A row at one version, as read from the platform or heard from a peer.
    pub struct RowChange {
        /// Key of the row.
        pub key: RowKey,
        /// Version of the content.
        pub version: RowVersion,
        /// Content of the row.
        pub content: RowContent,
    }
}

/// The rows in force, each taken only at a version above the one already held.
#[derive(Debug, Clone, Default)]
pub struct TableSet {
    rows: BTreeMap<RowKey, RowChange>,
}

impl TableSet {
    /// Adopts a change when its version is above the one held; returns whether it was adopted.
    pub fn adopt(&mut self, change: RowChange) -> bool {
        let held = self.version(&change.key);
        if held.is_some_and(|version| version >= change.version) {
            return false;
        }
        self.rows.insert(change.key.clone(), change);
        true
    }

    /// Version at which a row, or its tombstone, is held.
    pub fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.rows.get(key).map(|change| change.version)
    }

    /// The pool of a name, when its row is in force.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolRow> {
        match &self.rows.get(&RowKey::Pool(name.clone()))?.content {
            RowContent::Pool(row) => Some(row),
            _ => None,
        }
    }

    /// The route with the longest prefix of a path.
    pub fn match_route(&self, path: &str) -> Option<&RouteRow> {
        self.routes().filter(|row| prefix_matches(&row.path, path)).max_by_key(|row| row.path.len())
    }

    /// All routes in force.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRow> {
        self.rows.values().filter_map(|change| match &change.content {
            RowContent::Route(row) => Some(row),
            _ => None,
        })
    }

    /// All pools in force.
    pub fn pools(&self) -> impl Iterator<Item = &PoolRow> {
        self.rows.values().filter_map(|change| match &change.content {
            RowContent::Pool(row) => Some(row),
            _ => None,
        })
    }

    /// All rows and tombstones held, in the order of their keys.
    pub fn changes(&self) -> impl Iterator<Item = &RowChange> {
        self.rows.values()
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
