//! The set of rows in force on one router.

use std::collections::{BTreeMap, BTreeSet};

use base_types::{PoolName, RouteName, RowVersion, message_types, value_types};

use crate::{
    PoolRow, RouteRow, RowFault, RowKey, TableKind, TableRevision, check_rows, key::TableFloors,
    slot::RowSlot,
};

value_types! {
    /// What a row holds at one version.
    pub enum RowContent {
        /// A route.
        Route(RouteRow),
        /// A pool.
        Pool(PoolRow),
        /// The row was deleted at this version.
        Tombstone,
        /// The object holds no valid row; it was written past the administration API.
        Invalid(Vec<RowFault>),
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

message_types! {
    /// A row that was heard and is not in force.
    pub struct HeldRow {
        /// Key of the row.
        pub key: RowKey,
        /// Version that was heard.
        pub version: RowVersion,
        /// Version in force in its place.
        pub in_force: Option<RowVersion>,
        /// Why it is not in force.
        pub faults: Vec<RowFault>,
    }
}

/// The rows in force, each replaced only by a later version, and always valid together.
///
/// A later version that would make the rows in force invalid is held until the rows that it
/// needs arrive; rows may therefore arrive in any order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TableSet {
    pub(crate) slots: BTreeMap<RowKey, RowSlot>,
    floors: TableFloors,
}

impl TableSet {
    /// Takes a change; returns whether it is news.
    pub fn adopt(&mut self, change: RowChange) -> bool {
        self.adopt_all([change]) > 0
    }

    /// Takes changes together; returns how many are news.
    pub fn adopt_all(&mut self, changes: impl IntoIterator<Item = RowChange>) -> usize {
        let news = changes.into_iter().filter(|change| self.hear(change)).count();
        if news > 0 {
            self.resolve();
        }
        news
    }

    /// Takes whole tables, each read at a revision; rows that they lack were deleted by then.
    pub fn adopt_lists(&mut self, tables: &[TableRevision], rows: Vec<RowChange>) {
        let listed: BTreeSet<RowKey> = rows.iter().map(|change| change.key.clone()).collect();
        let mut changes = rows;
        for read in tables {
            let missing = self.slots.iter().filter(|(key, slot)| {
                let older = slot.latest() < Some(read.revision);
                key.table() == read.table && older && !listed.contains(*key)
            });
            changes.extend(missing.map(|(key, _)| RowChange {
                key: key.clone(),
                version: read.revision,
                content: RowContent::Tombstone,
            }));
        }
        self.adopt_all(changes);
        for read in tables {
            self.floors.raise(read);
        }
    }

    /// Revision at which a whole table was last read; unknown rows below it are refused.
    pub fn floor(&self, table: TableKind) -> Option<RowVersion> {
        self.floors.get(table)
    }

    /// Raises a table's floor to that of a peer whose rows have all been taken.
    pub fn raise_floor(&mut self, read: &TableRevision) {
        self.floors.raise(read);
    }

    /// Latest version heard of a row or its tombstone, in force or not.
    pub fn version(&self, key: &RowKey) -> Option<RowVersion> {
        self.slots.get(key).and_then(RowSlot::latest)
    }

    /// The change in force for a row; a tombstone when it is deleted.
    pub fn in_force(&self, key: &RowKey) -> Option<&RowChange> {
        self.slots.get(key)?.in_force.as_ref()
    }

    /// The pool of a name, when its row is in force.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolRow> {
        match &self.in_force(&RowKey::Pool(name.clone()))?.content {
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
        self.rows_in_force().filter_map(|change| match &change.content {
            RowContent::Route(row) => Some(row),
            _ => None,
        })
    }

    /// All pools in force.
    pub fn pools(&self) -> impl Iterator<Item = &PoolRow> {
        self.rows_in_force().filter_map(|change| match &change.content {
            RowContent::Pool(row) => Some(row),
            _ => None,
        })
    }

    /// The rows and tombstones in force, in the order of their keys.
    pub fn rows_in_force(&self) -> impl Iterator<Item = &RowChange> {
        self.slots.values().filter_map(|slot| slot.in_force.as_ref())
    }

    /// All rows and tombstones heard, in force or held, in the order of their keys.
    pub fn changes(&self) -> impl Iterator<Item = &RowChange> {
        self.slots.values().flat_map(|slot| slot.in_force.iter().chain(&slot.held))
    }

    /// The latest versions that were heard and are not in force, with why.
    pub fn held_rows(&self) -> impl Iterator<Item = HeldRow> {
        self.slots.iter().filter_map(|(key, slot)| {
            let change = slot.held.last()?;
            Some(HeldRow {
                key: key.clone(),
                version: change.version,
                in_force: slot.in_force.as_ref().map(|change| change.version),
                faults: self.faults_with(key, &change.content),
            })
        })
    }

    /// Faults that the rows in force would have with a row's content put in place.
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

    fn hear(&mut self, change: &RowChange) -> bool {
        let floor = self.floors.get(change.key.table());
        if !self.slots.contains_key(&change.key) && Some(change.version) <= floor {
            return false;
        }
        self.slots.entry(change.key.clone()).or_default().hear(change)
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
