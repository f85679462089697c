//! The soak on short seeded runs; each seed that ever failed stays, with a line on the cause.

use base_types::test_cases;
use soak::{SoakPlan, run_soak};

fn check(seed: u64) {
    let folder =
        std::env::temp_dir().join(format!("knapweedport-soak-{}-{seed}", std::process::id()));
    let plan = SoakPlan {
        seed,
        gateways: 4,
        runners: 4,
        callers: 8,
        rounds: 1,
        program: env!("CARGO_BIN_EXE_knapweedport").into(),
        folder: folder.clone(),
    };
    let report = run_soak(&plan).expect("a soak");
    assert!(report.served > 100, "{report:?}");
    let broken: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {seed}, logs in {}: {broken:#?}", folder.display());
    // Logs of a run that passed tell nothing.
    let _ = std::fs::remove_dir_all(&folder);
}

test_cases! {
    check:
    a_first_seed(1);
}
