//! Table files: arbitrary text and mutated files are parsed or rejected; the checks never panic.

use proptest::prelude::*;
use state_tables::{TableFile, check_rows};

const FILE: &str = r#"[[pool]]
name = "assistant"
team = "renewals"
group = "assistant"
kind = "engine"
repeatable = true
max_load_ratio = 1.5
target_slots = 8

[[route]]
name = "chat"
team = "renewals"
path = "/v1/chat"
pool = "assistant"
deadline_ms = 1000
"#;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in ".{0,200}") {
        check_file(&text);
    }

    #[test]
    fn a_mutated_file_is_parsed_or_rejected(
        cut in 0..FILE.len(), length in 0..20_usize, noise in "[\\x00-\\x7f]{0,8}",
    ) {
        let end = (cut + length).min(FILE.len());
        check_file(&format!("{}{noise}{}", &FILE[..cut], &FILE[end..]));
    }

    #[test]
    fn a_mutated_number_is_parsed_or_rejected(number in any::<f64>()) {
        check_file(&FILE.replace("1.5", &format!("{number:?}")));
    }
}

/// Checks that every pool of a file that passes validation has a usable load bound and slots.
fn check_file(text: &str) {
    let Ok(file) = TableFile::parse(text) else { return };
    let routes = file.routes.into_iter().map(|row| (row.name.clone(), row)).collect();
    let pools = file.pools.into_iter().map(|row| (row.name.clone(), row)).collect();
    if check_rows(&routes, &pools).is_empty() {
        assert!(pools.values().all(|pool| pool.max_load_ratio >= 1.0 && pool.target_slots > 0));
    }
}
