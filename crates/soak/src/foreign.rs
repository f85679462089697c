//! Odd entries of another writer among those of the runners.
//!
//! Their names sort between those of runners, so that pages of the store's lists end with them.

use crate::run::SoakCluster;

/// Names that no runner has; each is that of an entry like a runner's.
const NAMES: [&str; 8] =
    ["r-1&a", "r-1+a", "r-1#a", "r-1%zz", "r-1 a", "r-1\"<a>", "r-1\n\u{1}a", "r-1/../a?b=c"];

/// Objects that cannot be read, of which `@SPEC` is the content.
const OBJECTS: [&[u8]; 6] = [
    br#"{"metadata":{"name":7,"revision":4},"spec":@SPEC}"#,
    br#"{"metadata":{"revision":4},"spec":@SPEC}"#,
    br#"{"metadata":{"name":"r-2x","revision":"4"},"spec":@SPEC}"#,
    br#"{"metadata":{"name":"r-2\ud800","revision":4},"spec":@SPEC}"#,
    b"{\"metadata\":{\"name\":\"r-2\xff\",\"revision\":4},\"spec\":@SPEC}",
    br#"[@SPEC]"#,
];

const SPEC_PLACE: &[u8] = b"@SPEC";

/// Address of the entries, at which nothing listens.
const ADDRESS: &str = "127.0.0.1:9";

/// Writes the entries, or writes them again.
pub(crate) fn put_foreign_entries(cluster: &SoakCluster) {
    let mut spec = cluster.runners.borrow()[0].entry("ready");
    spec["address"] = ADDRESS.into();
    for name in NAMES.into_iter().chain([&*"r-1".repeat(4_000)]) {
        cluster.store.put("servers", name, spec.clone());
    }
    let spec = spec.to_string();
    for (index, object) in OBJECTS.into_iter().enumerate() {
        let at = object.windows(SPEC_PLACE.len()).position(|window| window == SPEC_PLACE);
        let Some(at) = at else { continue };
        let object = [&object[..at], spec.as_bytes(), &object[at + SPEC_PLACE.len()..]].concat();
        cluster.store.put_raw("servers", &format!("r-2x{index}"), &object);
    }
}
