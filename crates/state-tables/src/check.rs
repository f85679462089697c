//! Validation of rows.

use std::{collections::BTreeMap, fmt};

use base_types::{PoolName, RouteName, value_types};

use crate::{PoolRow, RouteRow, RowContent, RowKey, ServiceKind, ServingSpec};

const LOAD_RATIO_MIN: f64 = 1.0;
const LOAD_RATIO_MAX: f64 = 100.0;
const NAME_BYTES_MAX: usize = 64;
/// Routers keep up to this many leading bytes of each prompt until its answer ends.
const PREFIX_BYTES_MAX: u32 = 64 * 1024;

value_types! {
    /// A fault found by the checks of a row.
    #[derive(Eq)]
    pub struct RowFault {
        /// Table, row and key, such as `pool.assistant.max_load_ratio`.
        pub key: Box<str>,
        /// What is wrong and how to repair it.
        pub remedy: Box<str>,
    }
}

impl fmt::Display for RowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.remedy)
    }
}

/// Checks the rows of both tables together and returns every fault. Does not check that orders are
/// unique, which `check_orders_are_unique` does for an edit.
pub fn check_rows(
    routes: &BTreeMap<RouteName, RouteRow>,
    pools: &BTreeMap<PoolName, PoolRow>,
) -> Vec<RowFault> {
    let mut faults = Vec::new();
    for row in routes.values() {
        check_route(row, &mut faults);
        check_route_pool(row, pools, &mut faults);
    }
    check_paths(routes, &mut faults);
    for row in pools.values() {
        check_pool(row, &mut faults);
    }
    faults
}

/// Runs the checks of a row that need no other rows.
pub(crate) fn check_row(key: &RowKey, content: &RowContent) -> Vec<RowFault> {
    let mut faults = Vec::new();
    let name = match content {
        RowContent::Route(row) => {
            check_route(row, &mut faults);
            row.name.as_str()
        }
        RowContent::Pool(row) => {
            check_pool(row, &mut faults);
            row.name.as_str()
        }
        RowContent::Tombstone | RowContent::Invalid(_) => return faults,
    };
    if name != key.name() {
        let remedy = format!("the row calls itself `{name}`; the name must be that of its key");
        faults.push(fault(key.to_string(), &remedy));
    }
    faults
}

fn check_route(row: &RouteRow, faults: &mut Vec<RowFault>) {
    let key = |field: &str| format!("route.{}.{field}", row.name);
    check_name(row.name.as_str(), &key("name"), faults);
    check_name(row.team.as_str(), &key("team"), faults);
    if !row.path.starts_with('/') {
        faults.push(fault(key("path"), "must start with `/`"));
    }
    if row.deadline_ms == 0 {
        faults.push(fault(key("deadline_ms"), "must be above zero"));
    }
}

fn check_route_pool(
    row: &RouteRow,
    pools: &BTreeMap<PoolName, PoolRow>,
    faults: &mut Vec<RowFault>,
) {
    if pools.contains_key(&row.pool) {
        return;
    }
    let key = format!("route.{}.pool", row.name);
    let remedy = format!(
        "no pool is named `{}`; create the pool first, and delete it after its routes",
        row.pool
    );
    faults.push(fault(key, &remedy));
}

fn check_paths(routes: &BTreeMap<RouteName, RouteRow>, faults: &mut Vec<RowFault>) {
    let mut owners: BTreeMap<&str, &RouteName> = BTreeMap::new();
    for row in routes.values() {
        let Some(owner) = owners.insert(&row.path, &row.name) else { continue };
        let remedy = format!("route `{owner}` matches the same path; change one of the two");
        faults.push(fault(format!("route.{}.path", row.name), &remedy));
    }
}

fn check_pool(row: &PoolRow, faults: &mut Vec<RowFault>) {
    let key = |field: &str| format!("pool.{}.{field}", row.name);
    check_name(row.name.as_str(), &key("name"), faults);
    check_name(row.team.as_str(), &key("team"), faults);
    check_name(&row.group, &key("group"), faults);
    if !(LOAD_RATIO_MIN..=LOAD_RATIO_MAX).contains(&row.max_load_ratio) {
        let remedy = format!("must lie between {LOAD_RATIO_MIN} and {LOAD_RATIO_MAX}");
        faults.push(fault(key("max_load_ratio"), &remedy));
    }
    if !(0.0..=1.0).contains(&row.reuse_bias) {
        faults.push(fault(key("reuse_bias"), "must lie between 0 and 1"));
    }
    if let Some(spec) = &row.serving {
        check_serving(row.kind, spec, &key("serving"), faults);
    }
    if row.prefix_bytes > PREFIX_BYTES_MAX {
        let remedy = format!("must be at most {PREFIX_BYTES_MAX}");
        faults.push(fault(key("prefix_bytes"), &remedy));
    }
    if row.target_slots == 0 {
        faults.push(fault(key("target_slots"), "must be above zero"));
    }
}

fn check_serving(kind: ServiceKind, spec: &ServingSpec, key: &str, faults: &mut Vec<RowFault>) {
    if kind != ServiceKind::Engine {
        faults.push(fault(key.to_owned(), "only a pool of kind `engine` takes orders"));
    }
    check_name(&spec.model, &format!("{key}.model"), faults);
    check_name(&spec.version, &format!("{key}.version"), faults);
    for adapter in &spec.adapters {
        check_name(adapter, &format!("{key}.adapters"), faults);
    }
    if !spec.role.is_empty() {
        check_name(&spec.role, &format!("{key}.role"), faults);
    }
}

/// Checks that no other pool gives orders to the engines in the pool's group.
///
/// Only edits are checked. As rows arrive in any order, two such pools may be in force for a
/// moment; then the first by name gives the orders.
pub(crate) fn check_orders_are_unique<'a>(
    row: &PoolRow,
    pools: impl IntoIterator<Item = &'a PoolRow>,
) -> Option<RowFault> {
    let gives_orders = |other: &&PoolRow| other.serving.is_some() && other.group == row.group;
    let other = pools.into_iter().filter(gives_orders).find(|other| other.name != row.name)?;
    row.serving.as_ref()?;
    let remedy =
        format!("pool `{}` gives orders to the same group; change one of the two", other.name);
    Some(fault(format!("pool.{}.serving", row.name), &remedy))
}

fn check_name(name: &str, key: &str, faults: &mut Vec<RowFault>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
        faults.push(fault(key.to_owned(), "use 1 to 64 letters, digits, `-`, `_` or `.`"));
    }
}

fn fault(key: String, remedy: &str) -> RowFault {
    RowFault { key: key.into(), remedy: remedy.into() }
}
