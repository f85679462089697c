//! Keys of rows and the platform's objects that hold them.

use std::fmt;

use base_types::{PoolName, RouteName, RowVersion, key_types, value_types};

const ROUTE_PREFIX: &str = "routes/";
const POOL_PREFIX: &str = "pools/";

key_types! {
    /// One of the two tables.
    #[serde(rename_all = "kebab-case")]
    pub enum TableKind {
        /// The routes table.
        Routes,
        /// The pools table.
        Pools,
    }
}

value_types! {
    /// Revision at which a whole table was read.
    #[derive(Eq)]
    pub struct TableRevision {
        /// The table.
        pub table: TableKind,
        /// Revision of the read.
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
    /// Both tables, pools first, as routes name pools.
    pub const ALL: [Self; 2] = [Self::Pools, Self::Routes];

    /// Prefix of the platform's objects that hold the table's rows.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Routes => ROUTE_PREFIX,
            Self::Pools => POOL_PREFIX,
        }
    }

    /// Key of the table's row of a name.
    pub fn row(self, name: &str) -> RowKey {
        match self {
            Self::Routes => RowKey::Route(RouteName::new(name)),
            Self::Pools => RowKey::Pool(PoolName::new(name)),
        }
    }
}

impl RowKey {
    /// The row that an object of the platform holds, if it holds one.
    pub fn from_object(object: &str) -> Option<Self> {
        let of = |table: TableKind| object.strip_prefix(table.prefix()).map(|name| table.row(name));
        TableKind::ALL.into_iter().find_map(of)
    }

    /// Key of the platform's object that holds the row.
    pub fn object(&self) -> String {
        format!("{}{}", self.table().prefix(), self.name())
    }

    /// Table of the row.
    pub fn table(&self) -> TableKind {
        match self {
            Self::Route(_) => TableKind::Routes,
            Self::Pool(_) => TableKind::Pools,
        }
    }

    /// Name of the row.
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

/// Revisions at which whole tables were read; a row that was absent then and is older is void.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TableFloors {
    routes: Option<RowVersion>,
    pools: Option<RowVersion>,
}

impl TableFloors {
    pub(crate) fn raise(&mut self, read: &TableRevision) {
        let floor = match read.table {
            TableKind::Routes => &mut self.routes,
            TableKind::Pools => &mut self.pools,
        };
        *floor = (*floor).max(Some(read.revision));
    }

    pub(crate) fn get(&self, table: TableKind) -> Option<RowVersion> {
        match table {
            TableKind::Routes => self.routes,
            TableKind::Pools => self.pools,
        }
    }
}
