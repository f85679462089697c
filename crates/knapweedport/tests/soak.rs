//! Runs the soak test with short seeded plans. Each seed that ever failed is kept, with a comment
//! on its cause.

use base_types::test_cases;
use soak::{SoakPlan, run_soak};

fn check_seed(seed: u64, announcements: bool, software_versions: bool, restores: bool) {
    let folder =
        std::env::temp_dir().join(format!("knapweedport-soak-{}-{seed}", std::process::id()));
    let plan = SoakPlan {
        seed,
        gateways: 4,
        runners: 4,
        callers: 8,
        rounds: 1,
        announcements,
        software_versions,
        restores,
        program: env!("CARGO_BIN_EXE_knapweedport").into(),
        folder: folder.clone(),
    };
    let report = run_soak(&plan).expect("the soak runs");
    assert!(report.served > 100, "{report:?}");
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}, logs in {}: {violations:#?}", folder.display());
    // The logs of a passing run are not needed; cleanup is best effort.
    let _ = std::fs::remove_dir_all(&folder);
}

test_cases! {
    check_seed:
    a_first_seed(1, false, false, false);
    a_target_that_announces_its_leaving(2, true, false, false);
    targets_of_two_software_versions(3, false, true, false);
    a_store_that_is_restored_from_a_copy(5021, false, true, true);
}
