//! Defines the scenarios, runs them on worker threads, and writes tables and plots of the results.

use std::{
    fmt::{self, Write},
    path::Path,
    sync::Mutex,
    time::Duration,
};

use error_stack::{Report, ResultExt};

use crate::{
    CurvePoint, FleetChange, ModuleSettings, PolicyKind, RunFigures, ScenarioPlan, ScheduledFault,
    render_curve, run_scenario,
};

const WORKER_THREADS: usize = 4;
/// Settings of the Agency deployment, which favour even load over cache reuse.
pub const SKEW_FIRST: ModuleSettings = ModuleSettings { max_load_ratio: 1.5, reuse_bias: 0.12 };
/// Settings of the Kameeldoring deployment, which favour cache reuse over even load.
pub const REUSE_FIRST: ModuleSettings = ModuleSettings { max_load_ratio: 2.0, reuse_bias: 0.42 };

/// Writing the results to a file failed.
#[derive(Debug)]
pub struct SuiteError;

impl fmt::Display for SuiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the results could not be written")
    }
}

impl std::error::Error for SuiteError {}

/// The results of one policy in one scenario: a line of the table.
struct MeasuredRow {
    plan: ScenarioPlan,
    policy: PolicyKind,
    figures: RunFigures,
}

/// Runs the scenarios whose name contains `only` and prints a table of the results. If a folder is
/// given, also writes a CSV file and plots to the folder.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn run_suite(seed: u64, only: &str, folder: Option<&Path>) -> Result<(), Report<SuiteError>> {
    let plans: Vec<_> =
        scenarios(seed).into_iter().filter(|plan| plan.name.contains(only)).collect();
    let mut jobs = Vec::new();
    for plan in &plans {
        for policy in policies(plan) {
            jobs.push((plan.clone(), policy));
        }
    }
    let rows = run_jobs(jobs);
    println!("{}", format_header());
    for row in &rows {
        println!("{}", format_row(row));
    }
    let Some(folder) = folder else { return Ok(()) };
    write_files(folder, seed, &rows)
}

/// Returns all scenarios, each with the given seed.
pub fn scenarios(seed: u64) -> Vec<ScenarioPlan> {
    let mut plans = Vec::new();
    for (deployment, base) in
        [("agency", ScenarioPlan::agency(seed)), ("kameeldoring", ScenarioPlan::kameeldoring(seed))]
    {
        for in_flight in [4, 16, 64] {
            for view_ms in [100, 500] {
                let name = format!("steady {deployment} {in_flight} in flight {view_ms} ms");
                plans.push(ScenarioPlan {
                    in_flight,
                    slots: in_flight * 4,
                    load_share_interval: Duration::from_millis(view_ms),
                    ..base.clone().named(&name)
                });
            }
        }
        if base.targets != 12 {
            plans.extend(twelve_target_scenarios(&base));
        }
        plans.extend(fault_scenarios(deployment, &base));
        plans.push(base.clone().named(&format!("curve {deployment}")));
    }
    plans
}

fn policies(plan: &ScenarioPlan) -> Vec<PolicyKind> {
    let mut policies = PolicyKind::BASELINES.to_vec();
    if plan.name.starts_with("curve") {
        for step in 0..=8 {
            let reuse_bias = f64::from(step) / 8.0;
            policies.push(PolicyKind::Module(ModuleSettings { max_load_ratio: 2.0, reuse_bias }));
        }
        return policies;
    }
    policies.push(PolicyKind::Module(SKEW_FIRST));
    policies.push(PolicyKind::Module(REUSE_FIRST));
    policies
}

/// Returns scenarios with the chats of the smaller deployment on 12 targets, as many as the larger
/// deployment has.
fn twelve_target_scenarios(base: &ScenarioPlan) -> Vec<ScenarioPlan> {
    let cases = [(16, 100), (16, 500), (64, 100), (64, 500)];
    let plan = |(in_flight, view_ms)| ScenarioPlan {
        in_flight,
        targets: 12,
        slots: in_flight * 4,
        load_share_interval: Duration::from_millis(view_ms),
        ..base.clone().named(&format!("twelve {in_flight} in flight {view_ms} ms"))
    };
    cases.into_iter().map(plan).collect()
}

fn fault_scenarios(deployment: &str, base: &ScenarioPlan) -> Vec<ScenarioPlan> {
    let at = |seconds: u64, kind| ScheduledFault { at: Duration::from_secs(seconds), kind };
    let flaps_of_target_3 = (0..8).flat_map(|flap| {
        let start = 65 + flap * 12;
        [at(start, FleetChange::Down(3)), at(start + 3, FleetChange::Up(3))]
    });
    let flaps_of_target_5 = (0..8).flat_map(|flap| {
        let start = 70 + flap * 12;
        [at(start, FleetChange::Down(5)), at(start + 4, FleetChange::Up(5))]
    });
    let surge = FleetChange::StartSurge { accounts: 2, factor: 4 };
    let churn = vec![
        at(70, FleetChange::Drain(1)),
        at(85, FleetChange::Join(0)),
        at(110, FleetChange::Drain(2)),
        at(125, FleetChange::Join(0)),
    ];
    let surge_by = |factor| {
        let surge = FleetChange::StartSurge { accounts: 2, factor };
        vec![at(80, surge), at(140, FleetChange::EndSurge)]
    };
    let plan = |name: &str, faults| ScenarioPlan {
        faults,
        ..base.clone().named(&format!("{name} {deployment}"))
    };
    vec![
        plan("mark", vec![at(80, FleetChange::StartMoveCount)]),
        plan("leave", vec![at(80, FleetChange::Drain(4))]),
        plan("join", vec![at(80, FleetChange::Join(0))]),
        plan("flaps", flaps_of_target_3.chain(flaps_of_target_5).collect()),
        plan("churn", churn.clone()),
        plan("surge", vec![at(80, surge), at(110, FleetChange::EndSurge)]),
        ScenarioPlan { slots: 24, ..plan("tenfold reference", surge_by(1)) },
        ScenarioPlan { slots: 24, ..plan("tenfold surge", surge_by(10)) },
        plan(
            "crashers",
            vec![
                at(70, FleetChange::CrashingContent(1)),
                at(71, FleetChange::CrashingContent(2)),
                at(110, FleetChange::CrashingContent(3)),
            ],
        ),
        plan(
            "half fail",
            vec![
                at(80, FleetChange::StartFailures(base.targets / 2)),
                at(110, FleetChange::EndFailures),
            ],
        ),
        ScenarioPlan {
            notice_delay: Duration::from_millis(1000),
            ..base.clone().named(&format!("late views {deployment}"))
        },
        ScenarioPlan {
            token_return_ratio: 1.0,
            ..base.clone().named(&format!("all send tokens {deployment}"))
        },
        ScenarioPlan { token_return_ratio: 1.0, ..plan("churn with tokens", churn) },
        ScenarioPlan { routers: 28, ..base.clone().named(&format!("28 routers {deployment}")) },
    ]
}

/// Runs jobs on worker threads. The result of a job depends only on its plan and policy.
fn run_jobs(jobs: Vec<(ScenarioPlan, PolicyKind)>) -> Vec<MeasuredRow> {
    let pending_jobs = Mutex::new(jobs.into_iter().enumerate());
    let finished_rows = Mutex::new(std::collections::BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..WORKER_THREADS {
            scope.spawn(|| {
                while let Some((index, (plan, policy))) = next_job(&pending_jobs) {
                    let figures = run_scenario(&plan, policy);
                    let row = MeasuredRow { plan, policy, figures };
                    if let Ok(mut finished_rows) = finished_rows.lock() {
                        finished_rows.insert(index, row);
                    }
                }
            });
        }
    });
    finished_rows.into_inner().unwrap_or_default().into_values().collect()
}

fn next_job<T>(pending_jobs: &Mutex<impl Iterator<Item = T>>) -> Option<T> {
    pending_jobs.lock().ok()?.next()
}

fn format_header() -> String {
    format!(
        "{:36} {:21} {:>6} {:>5} {:>5} {:>5} {:>5} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>7}",
        "scenario",
        "policy",
        "reuse",
        "p50",
        "p99",
        "p99.9",
        "max",
        "over",
        "tok99",
        "load",
        "refuse",
        "tries",
        "moved",
        "first",
        "bytes",
        "lat99",
        "crash",
        "innoc",
        "qrefuse"
    )
}

fn format_row(row: &MeasuredRow) -> String {
    let figures = &row.figures;
    let requests = figures.requests.max(1) as f64;
    format!(
        "{:36} {:21} {:6.3} {:5.2} {:5.2} {:5.2} {:5.2} {:6.4} {:6.2} {:7.2} {:6.4} {:6.3} {:6.3} {:6.3} {:6.0} {:7.2} {:5} {:5} {:7}",
        row.plan.name,
        row.policy.name(),
        figures.reuse,
        figures.skew.p50,
        figures.skew.p99,
        figures.skew.p999,
        figures.skew.max,
        figures.over_bound,
        figures.token_skew.p99,
        figures.in_flight,
        (figures.refused + figures.unknown) as f64 / requests,
        figures.attempts as f64 / requests,
        figures.moved as f64 / figures.returned.max(1) as f64,
        figures.first_moved as f64 / figures.first_returned.max(1) as f64,
        figures.control_bytes,
        figures.quiet_latency.p99,
        figures.crashes_by_content.values().max().copied().unwrap_or(0),
        figures.harmless_refused,
        figures.quiet_refused,
    )
}

fn write_files(folder: &Path, seed: u64, rows: &[MeasuredRow]) -> Result<(), Report<SuiteError>> {
    std::fs::create_dir_all(folder).change_context(SuiteError)?;
    let mut csv = String::from(
        "seed,scenario,policy,reuse,skew_p50,skew_p99,skew_p999,skew_max,over_bound,token_skew_p99,in_flight,requests,completed,refused,unknown,attempts,moved,returned,first_moved,first_returned,control_bytes_per_router_second,quiet_latency_p99_s,surging_latency_p99_s,lost_to_one_content_max,innocents_refused,quiet_refused\n",
    );
    for row in rows {
        let figures = &row.figures;
        let _ = writeln!(
            csv,
            "{seed},{},{},{:.4},{:.3},{:.3},{:.3},{:.3},{:.5},{:.3},{:.2},{},{},{},{},{},{},{},{},{},{:.0},{:.3},{:.3},{},{},{}",
            row.plan.name,
            row.policy.name(),
            figures.reuse,
            figures.skew.p50,
            figures.skew.p99,
            figures.skew.p999,
            figures.skew.max,
            figures.over_bound,
            figures.token_skew.p99,
            figures.in_flight,
            figures.requests,
            figures.completed,
            figures.refused,
            figures.unknown,
            figures.attempts,
            figures.moved,
            figures.returned,
            figures.first_moved,
            figures.first_returned,
            figures.control_bytes,
            figures.quiet_latency.p99,
            figures.surging_latency.p99,
            figures.crashes_by_content.values().max().copied().unwrap_or(0),
            figures.harmless_refused,
            figures.quiet_refused,
        );
    }
    std::fs::write(folder.join("routing.csv"), csv).change_context(SuiteError)?;
    for deployment in ["agency", "kameeldoring"] {
        let name = format!("curve {deployment}");
        let points: Vec<_> =
            rows.iter().filter(|row| *row.plan.name == *name).map(curve_point).collect();
        if points.is_empty() {
            continue;
        }
        let title = format!("Reuse against skew, {deployment}, seed {seed}");
        let file = folder.join(format!("routing-{deployment}.svg"));
        std::fs::write(file, render_curve(&title, &points)).change_context(SuiteError)?;
    }
    Ok(())
}

fn curve_point(row: &MeasuredRow) -> CurvePoint {
    let is_module = matches!(row.policy, PolicyKind::Module(_));
    let name = row.policy.name();
    CurvePoint {
        series: if is_module { "module".into() } else { name.clone() },
        label: name,
        skew: row.figures.skew.p99,
        reuse: row.figures.reuse,
    }
}
