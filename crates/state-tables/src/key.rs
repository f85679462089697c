//! Row keys and the keys of the platform objects that store the rows.

use std::fmt;

use base_types::{PoolName, RouteName, RowVersion, key_types, value_types};

const ROUTE_PREFIX: &str = "routes/";
const POOL_PREFIX: &str = "pools/";

key_types! {
    /// A table of rows that operators edit.
    #[serde(rename_all = "kebab-case")]
    pub enum TableKind {
        /// Routes, which map paths to pools.
        Routes,
        /// Pools of targets.
        Pools,
    }
}

value_types! {
    /// Revision at which a complete table was read.
    #[derive(Eq)]
    pub struct TableRevision {
        /// Table that was read.
        pub table: TableKind,
        /// Revision of the platform at that read.
        pub revision: RowVersion,
    }

    /// Key of a row in either table.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum RowKey {
        /// A row of the routes table.
        Route(RouteName),
        /// A row of the pools table.
        Pool(PoolName),
    }
}

impl TableKind {
    /// Both tables; pools come first, because routes refer to them.
    pub const ALL: [Self; 2] = [Self::Pools, Self::Routes];

    /// Key prefix of the platform objects that store the rows of the table.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Routes => ROUTE_PREFIX,
            Self::Pools => POOL_PREFIX,
        }
    }

    /// Key of the row with this name.
    pub fn row(self, name: &str) -> RowKey {
        match self {
            Self::Routes => RowKey::Route(RouteName::new(name)),
            Self::Pools => RowKey::Pool(PoolName::new(name)),
        }
    }
}

impl RowKey {
    /// Key of the row that a platform object stores; `None` for other objects.
    pub fn from_object_key(object: &str) -> Option<Self> {
        let in_table =
            |table: TableKind| object.strip_prefix(table.prefix()).map(|name| table.row(name));
        TableKind::ALL.into_iter().find_map(in_table)
    }

    /// Key of the platform object that stores the row.
    pub fn object_key(&self) -> String {
        format!("{}{}", self.table().prefix(), self.name())
    }

    /// Table that the row belongs to.
    pub fn table(&self) -> TableKind {
        match self {
            Self::Route(_) => TableKind::Routes,
            Self::Pool(_) => TableKind::Pools,
        }
    }

    /// Name of the row, unique within its table.
    pub fn name(&self) -> &str {
        match self {
            Self::Route(name) => name.as_str(),
            Self::Pool(name) => name.as_str(),
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(f, "route `{name}`"),
            Self::Pool(name) => write!(f, "pool `{name}`"),
        }
    }
}

/// Revisions at which the tables were last read completely. A version of an unknown row that is not
/// newer is ignored: the row was deleted by then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TableFloors {
    routes: Option<RowVersion>,
    pools: Option<RowVersion>,
}

impl TableFloors {
    pub(crate) fn raise(&mut self, read_at: &TableRevision) {
        let floor = match read_at.table {
            TableKind::Routes => &mut self.routes,
            TableKind::Pools => &mut self.pools,
        };
        *floor = (*floor).max(Some(read_at.revision));
    }

    pub(crate) fn get(&self, table: TableKind) -> Option<RowVersion> {
        match table {
            TableKind::Routes => self.routes,
            TableKind::Pools => self.pools,
        }
    }
}
