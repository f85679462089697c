//! Adoption of rows only moves versions forward, and the checks report every fault of invalid rows.

use std::collections::BTreeMap;

use base_types::{PoolName, RouteName, RowVersion, test_cases};
use state_tables::{RowChange, RowContent, RowKey, TableFile, TableSet, check_rows};

const FILE: &str = r#"
[[pool]]
name = "assistant"
team = "renewals"
group = "assistant"
kind = "engine"
repeatable = true

[[route]]
name = "chat"
team = "renewals"
path = "/v1/chat"
pool = "assistant"
"#;

fn check_faults(text: &str, expected: &[&str]) {
    let file = TableFile::parse(text).unwrap();
    let routes = file.routes.into_iter().map(|row| (row.name.clone(), row)).collect();
    let pools = file.pools.into_iter().map(|row| (row.name.clone(), row)).collect();
    let keys: Vec<Box<str>> =
        check_rows(&routes, &pools).into_iter().map(|fault| fault.key).collect();
    assert_eq!(keys.iter().map(|key| &**key).collect::<Vec<_>>(), expected);
}

test_cases! {
    check_faults:
    a_valid_file_has_no_faults(FILE, &[]);
    a_route_to_an_unknown_pool(&FILE.replace("pool = \"assistant\"", "pool = \"none\""), &["route.chat.pool"]);
    a_load_ratio_below_one_and_no_slots(
        &FILE.replace("repeatable = true", "repeatable = true\nmax_load_ratio = 0.5\ntarget_slots = 0"),
        &["pool.assistant.max_load_ratio", "pool.assistant.target_slots"],
    );
    a_prefix_longer_than_routers_buffer(
        &FILE.replace("repeatable = true", "repeatable = true\nprefix_bytes = 65537"),
        &["pool.assistant.prefix_bytes"],
    );
    a_relative_path(&FILE.replace("/v1/chat", "v1/chat"), &["route.chat.path"]);
}

#[test]
fn an_unknown_key_is_refused() {
    assert!(TableFile::parse(&FILE.replace("repeatable", "repeatible")).is_err());
}

fn pool_change(version: u64) -> RowChange {
    let row = TableFile::parse(FILE).unwrap().pools.remove(0);
    RowChange {
        key: RowKey::Pool(row.name.clone()),
        version: RowVersion(version),
        content: RowContent::Pool(row),
    }
}

fn check_adoption(versions: &[u64], expected: &[bool]) {
    let mut table = TableSet::default();
    let adopted: Vec<bool> =
        versions.iter().map(|version| table.adopt(pool_change(*version))).collect();
    assert_eq!(adopted, expected);
}

test_cases! {
    check_adoption:
    later_versions_are_adopted(&[1, 2, 5], &[true, true, true]);
    earlier_and_equal_versions_are_ignored(&[5, 4, 5], &[true, false, false]);
}

#[test]
fn a_tombstone_removes_the_row() {
    let mut table = TableSet::default();
    table.adopt(pool_change(1));
    let name = PoolName::new("assistant");
    let key = RowKey::Pool(name.clone());
    table.adopt(RowChange { key, version: RowVersion(2), content: RowContent::Tombstone });
    assert_eq!(table.pool(&name), None);
    assert!(!table.adopt(pool_change(1)));
}

#[test]
fn the_route_with_the_longest_prefix_matches() {
    let mut table = TableSet::default();
    table.adopt(pool_change(1));
    let row = TableFile::parse(FILE).unwrap().routes.remove(0);
    for (name, path) in [("all", "/"), ("chat", "/v1/chat"), ("other", "/v1/ch")] {
        let mut row = row.clone();
        row.name = RouteName::new(name);
        row.path = path.into();
        table.adopt(RowChange {
            key: RowKey::Route(row.name.clone()),
            version: RowVersion(1),
            content: RowContent::Route(row),
        });
    }
    let matched: BTreeMap<&str, &str> = ["/v1/chat/completions", "/v1/chats"]
        .into_iter()
        .map(|path| (path, table.match_route(path).unwrap().name.as_str()))
        .collect();
    assert_eq!(matched["/v1/chat/completions"], "chat");
    assert_eq!(matched["/v1/chats"], "all");
}
