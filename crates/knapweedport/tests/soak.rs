//! Runs the soak test with short seeded plans. Each seed that ever failed is kept, with a comment
//! on its cause.

use base_types::test_cases;
use soak::{SoakPlan, run_soak};

fn check_seed(seed: u64, adjust: impl FnOnce(&mut SoakPlan)) {
    let folder =
        std::env::temp_dir().join(format!("knapweedport-soak-{}-{seed}", std::process::id()));
    let mut plan = SoakPlan {
        seed,
        gateways: 4,
        runners: 4,
        callers: 8,
        rounds: 1,
        announcements: false,
        software_versions: false,
        restores: false,
        foreign_entries: false,
        program: env!("CARGO_BIN_EXE_knapweedport").into(),
        folder: folder.clone(),
    };
    adjust(&mut plan);
    let report = run_soak(&plan).expect("the soak runs");
    assert!(report.served > 100, "{report:?}");
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}, logs in {}: {violations:#?}", folder.display());
    // The logs of a passing run are not needed; cleanup is best effort.
    let _ = std::fs::remove_dir_all(&folder);
}

test_cases! {
    check_seed:
    a_first_seed(1, |_| {});
    a_target_that_announces_its_leaving(2, |plan| plan.announcements = true);
    targets_of_two_software_versions(3, |plan| plan.software_versions = true);
    a_store_that_is_restored_from_a_copy(5021, |plan| {
        plan.software_versions = true;
        plan.restores = true;
    });
    entries_of_another_writer(5401, |plan| plan.foreign_entries = true);
}
