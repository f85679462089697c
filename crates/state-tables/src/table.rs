//! The rows in force on one router.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolName, RouteName, RowVersion, message_types, value_types};

use crate::{
    PoolRow, RouteRow, RowFault, RowKey, TableKind, TableRevision, check_rows, key::TableFloors,
    slot::RowSlot,
};

value_types! {
    /// Content of a row at one version.
    pub enum RowContent {
        /// A valid row of the routes table.
        Route(RouteRow),
        /// A valid row of the pools table.
        Pool(PoolRow),
        /// The row was deleted at this version.
        Tombstone,
        /// The object holds no valid row, because a write bypassed the administration API.
        Invalid(Vec<RowFault>),
    }

    /// A row at one version, as read from the platform or received from a peer.
    pub struct RowChange {
        /// Key of the row.
        pub key: RowKey,
        /// Version of the content.
        pub version: RowVersion,
        /// Content of the row.
        pub content: RowContent,
    }
}

message_types! {
    /// A row whose latest version is not in force.
    pub struct RejectedRow {
        /// Key of the row.
        pub key: RowKey,
        /// Latest version, which is not in force.
        pub version: RowVersion,
        /// Version that is in force instead; absent when there is none.
        pub in_force: Option<RowVersion>,
        /// Faults that keep the latest version out of force.
        pub faults: Vec<RowFault>,
    }
}

/// The rows in force. A row is only replaced by a later version, and all rows are valid together.
///
/// A later version that would make the rows in force invalid is stored until the rows that it
/// depends on arrive, so rows may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TableSet {
    pub(crate) slots: BTreeMap<RowKey, RowSlot>,
    floors: TableFloors,
}

impl TableSet {
    /// Adopts a change; returns whether it was unknown.
    pub fn adopt(&mut self, change: RowChange) -> bool {
        self.adopt_all([change]) > 0
    }

    /// Adopts changes together; returns how many were unknown.
    pub fn adopt_all(&mut self, changes: impl IntoIterator<Item = RowChange>) -> usize {
        let new_count = changes.into_iter().filter(|change| self.insert_newer(change)).count();
        if new_count > 0 {
            self.resolve();
        }
        new_count
    }

    /// Adopts complete tables, each read at a revision. Older rows that are not listed were deleted
    /// by then and get a tombstone.
    pub fn adopt_lists(&mut self, tables: &[TableRevision], rows: Vec<RowChange>) {
        let listed: BTreeSet<RowKey> = rows.iter().map(|change| change.key.clone()).collect();
        let mut changes = rows;
        for read_at in tables {
            let missing = self.slots.iter().filter(|(key, slot)| {
                let is_older = slot.latest() < Some(read_at.revision);
                key.table() == read_at.table && is_older && !listed.contains(*key)
            });
            changes.extend(missing.map(|(key, _)| RowChange {
                key: key.clone(),
                version: read_at.revision,
                content: RowContent::Tombstone,
            }));
        }
        self.adopt_all(changes);
        for read_at in tables {
            self.floors.raise(read_at);
        }
    }

    /// Revision at which the complete table was last read; changes of unknown rows up to this
    /// revision are ignored.
    pub fn floor(&self, table: TableKind) -> Option<RowVersion> {
        self.floors.get(table)
    }

    /// Raises a table's floor to that of a peer whose rows have all been adopted.
    pub fn raise_floor(&mut self, read_at: &TableRevision) {
        self.floors.raise(read_at);
    }

    /// Latest known version of a row or its tombstone, in force or not.
    pub fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.slots.get(key).and_then(RowSlot::latest)
    }

    /// The change in force for a row; a tombstone when it is deleted.
    pub fn in_force(&self, key: &RowKey) -> Option<&RowChange> {
        self.slots.get(key)?.in_force.as_ref()
    }

    /// The pool with this name, if its row is in force.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolRow> {
        match &self.in_force(&RowKey::Pool(name.clone()))?.content {
            RowContent::Pool(row) => Some(row),
            _ => None,
        }
    }

    /// The route whose path is the longest matching prefix of a path.
    pub fn match_route(&self, path: &str) -> Option<&RouteRow> {
        self.routes().filter(|row| prefix_matches(&row.path, path)).max_by_key(|row| row.path.len())
    }

    /// All routes in force, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRow> {
        self.rows_in_force().filter_map(|change| match &change.content {
            RowContent::Route(row) => Some(row),
            _ => None,
        })
    }

    /// All pools in force, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = &PoolRow> {
        self.rows_in_force().filter_map(|change| match &change.content {
            RowContent::Pool(row) => Some(row),
            _ => None,
        })
    }

    /// The rows and tombstones in force, ordered by key.
    pub fn rows_in_force(&self) -> impl Iterator<Item = &RowChange> {
        self.slots.values().filter_map(|slot| slot.in_force.as_ref())
    }

    /// All known versions of rows and tombstones, in force or not, ordered by key.
    pub fn changes(&self) -> impl Iterator<Item = &RowChange> {
        self.slots.values().flat_map(|slot| slot.in_force.iter().chain(&slot.newer))
    }

    /// The rows whose latest version is not in force, with the faults that prevent it.
    pub fn rejected_rows(&self) -> impl Iterator<Item = RejectedRow> {
        self.slots.iter().filter_map(|(key, slot)| {
            let change = slot.newer.last()?;
            Some(RejectedRow {
                key: key.clone(),
                version: change.version,
                in_force: slot.in_force.as_ref().map(|change| change.version),
                faults: self.faults_with(key, &change.content),
            })
        })
    }

    /// Faults that the rows in force would have with this content of a row.
    pub fn faults_with(&self, key: &RowKey, content: &RowContent) -> Vec<RowFault> {
        if let RowContent::Invalid(faults) = content {
            return faults.clone();
        }
        let mut routes: BTreeMap<RouteName, RouteRow> =
            self.routes().map(|row| (row.name.clone(), row.clone())).collect();
        let mut pools: BTreeMap<PoolName, PoolRow> =
            self.pools().map(|row| (row.name.clone(), row.clone())).collect();
        match (key, content) {
            (RowKey::Route(name), RowContent::Route(row)) => {
                routes.insert(name.clone(), row.clone());
            }
            (RowKey::Pool(name), RowContent::Pool(row)) => {
                pools.insert(name.clone(), row.clone());
            }
            (RowKey::Route(name), _) => {
                routes.remove(name);
            }
            (RowKey::Pool(name), _) => {
                pools.remove(name);
            }
        }
        check_rows(&routes, &pools)
    }

    fn insert_newer(&mut self, change: &RowChange) -> bool {
        let floor = self.floors.get(change.key.table());
        if !self.slots.contains_key(&change.key) && Some(change.version) <= floor {
            return false;
        }
        self.slots.entry(change.key.clone()).or_default().insert(change)
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
