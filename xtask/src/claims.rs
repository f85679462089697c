//! Measures the cost of claiming an operation: platform writes, operations per second, latency.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use fakes::FaultSet;
use hdrhistogram::Histogram;
use http::Method;
use local_fleet::{FleetPlan, LocalFleet};
use serde_json::{Value, json};

use crate::steps::{TaskError, cargo, target_path};

const RUN_TIME: Duration = Duration::from_secs(5);
const PLATFORM_LATENCY_MS: u64 = 5;
const CALLERS: [usize; 3] = [1, 16, 64];

/// Builds and starts a fleet and measures repeatable and at-most-once calls in separate runs, for
/// each number of callers.
pub(crate) fn measure_claims() -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "-p", "knapweedport", "-p", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    tokio::task::LocalSet::new().block_on(&runtime, measure())
}

async fn measure() -> Result<(), Report<TaskError>> {
    let programs = target_path("release")?;
    let plan = FleetPlan::new(&programs, &programs.join("claims")).routers(4).engines(0);
    let fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    put_repeatable_pool(&fleet).await?;
    let latency = FaultSet { lag_ms: PLATFORM_LATENCY_MS, ..FaultSet::default() };
    fleet.set_faults(fleet.platform, &latency).await.change_context(TaskError)?;
    println!("platform answers in {PLATFORM_LATENCY_MS} ms; {} routers", fleet.routers.len());
    println!(
        "| callers | call | per second | p50 ms | p99 ms | writes per call | writes per second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for callers in CALLERS {
        for path in ["/echo", "/pay"] {
            measure_calls(&fleet, callers, path).await?;
        }
    }
    Ok(())
}

/// Adds a second pool with the same services, whose calls are repeatable.
async fn put_repeatable_pool(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let pool = json!({ "name": "echo", "team": "payments", "group": "payments",
        "kind": "service", "repeatable": true });
    let route = json!({ "name": "echo", "team": "payments", "path": "/echo", "pool": "echo" });
    fleet.put_row(0, "pools/echo", None, &pool).await.change_context(TaskError)?;
    fleet.put_row(0, "routes/echo", None, &route).await.change_context(TaskError)?;
    fleet.wait_rows(6).await.change_context(TaskError)
}

async fn measure_calls(
    fleet: &LocalFleet,
    callers: usize,
    path: &'static str,
) -> Result<(), Report<TaskError>> {
    let latencies = Rc::new(RefCell::new(Histogram::<u64>::new(3).change_context(TaskError)?));
    let writes_before = platform_writes(fleet).await?;
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        let router = fleet.routers[caller % fleet.routers.len()].caller_address;
        let client = fleet.client().clone();
        let latencies = latencies.clone();
        tasks.spawn_local(async move {
            for turn in 0.. {
                if start.elapsed() >= RUN_TIME {
                    return;
                }
                let operation = format!("{callers}-{caller}-{turn}");
                let headers = [("idempotency-key", &*operation)];
                let started_at = Instant::now();
                let answer = client.call(Method::POST, router, path, &headers, "amount").await;
                if answer.is_ok_and(|answer| answer.code() == 2000) {
                    let micros = started_at.elapsed().as_micros() as u64;
                    let _ = latencies.borrow_mut().record(micros);
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let seconds = start.elapsed().as_secs_f64();
    let writes = platform_writes(fleet).await? - writes_before;
    let latencies = latencies.borrow();
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    let calls = latencies.len();
    println!(
        "| {callers} | {path} | {:.0} | {:.1} | {:.1} | {:.2} | {:.0} |",
        calls as f64 / seconds,
        ms(0.5),
        ms(0.99),
        writes as f64 / calls.max(1) as f64,
        writes as f64 / seconds,
    );
    Ok(())
}

async fn platform_writes(fleet: &LocalFleet) -> Result<u64, Report<TaskError>> {
    let calls: Value =
        fleet.client().get_json(fleet.platform, "/calls").await.change_context(TaskError)?;
    Ok(calls["write"].as_u64().unwrap_or_default())
}
