//! The demonstration: a fleet on loopback under load, with faults.

mod chats;
mod entry;
mod payments;
mod report;
mod tables;
mod watch;

use std::time::Duration;

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::{ChatPrompt, FleetPlan, LocalFleet};
use serde_json::Value;

use crate::{
    demo::{
        chats::run_chats,
        entry::FleetCaller,
        payments::{count_duplicate_executions, run_payments},
        report::DemoReport,
        tables::edit_pool,
        watch::{LoadSampler, control_traffic},
    },
    soak::{SoakTask, soak_once},
    steps::{TaskError, cargo, target_path},
};

/// Delay from the start of the load to the kill of an engine, and from that to the kill of a
/// router.
const KILL_DELAY: Duration = Duration::from_millis(1500);
const KILLED_ENGINE: usize = 0;

/// Seed for callers and faults on the users' platform.
const DEMO_SEED: u64 = 1;

/// Builds and starts the fleet, applies load, and fails if a guarantee is violated.
pub(crate) fn run_demo(keep: bool) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    runtime.block_on(run_fleet(keep))?;
    run_gateways()
}

/// Runs gateway processes with a stand-in for the users' platform, under faults.
fn run_gateways() -> Result<(), Report<TaskError>> {
    println!("the users' platform: 5 gateways, 4 runners, a stand-in store, two rounds of faults");
    soak_once(&SoakTask::default(), DEMO_SEED)
        .and_then(|passed| if passed { Ok(()) } else { Err(Report::new(TaskError)) })
}

async fn run_fleet(keep: bool) -> Result<(), Report<TaskError>> {
    let programs = target_path("release")?;
    let workdir = programs.join("demo");
    let plan = FleetPlan::new(&programs, &workdir);
    println!("starting 7 routers in 4 failure domains, 12 engines, 4 services");
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    let mut report = DemoReport { edit_delay: edit_pool(&fleet).await?, ..DemoReport::default() };
    run_load(&mut fleet, &mut report).await?;
    explain_request(&fleet).await?;
    report.duplicate_executions = count_duplicate_executions(&fleet).await?;
    report.print();
    if keep {
        wait_for_input(&fleet);
    }
    report.check()
}

/// Runs chats and payments concurrently, kills an engine and a router during the load, and records
/// the results.
async fn run_load(
    fleet: &mut LocalFleet,
    report: &mut DemoReport,
) -> Result<(), Report<TaskError>> {
    println!("sending chats and payments; an engine and a router are killed meanwhile");
    let caller = FleetCaller::new(fleet);
    let sampler = LoadSampler::start(fleet);
    let traffic_before = control_traffic(fleet).await;
    let chats = tokio::spawn(run_chats(caller.clone()));
    let payments = tokio::spawn(run_payments(caller));
    tokio::time::sleep(KILL_DELAY).await;
    kill_engine(fleet).await?;
    tokio::time::sleep(KILL_DELAY).await;
    kill_router(fleet).await?;
    report.chats = chats.await.change_context(TaskError)?;
    report.payments = payments.await.change_context(TaskError)?;
    report.control_rate = traffic_before.rate_until(&control_traffic(fleet).await);
    report.skew = sampler.finish().await?;
    Ok(())
}

async fn kill_engine(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    let engine = &fleet.engines[KILLED_ENGINE];
    let load: Value =
        fleet.client().get_json(engine.address, "/load").await.change_context(TaskError)?;
    println!("killing {} while it runs {} requests", engine.host, load["in_flight"]);
    fleet.engines[KILLED_ENGINE].process = None;
    Ok(())
}

/// Kills the router that serves the most requests.
async fn kill_router(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    let mut busiest = (0, 0);
    for (index, router) in fleet.routers.iter().enumerate() {
        let status =
            fleet.client().get_json::<Value>(router.operator_address, "/admin/v1/status").await;
        let requests = status.change_context(TaskError)?["requests"].as_u64().unwrap_or_default();
        busiest = busiest.max((requests, index));
    }
    let (requests, index) = busiest;
    println!("killing {} while it serves {requests} requests", fleet.routers[index].host);
    fleet.routers[index].process = None;
    Ok(())
}

async fn explain_request(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let live = fleet.routers.iter().find(|router| router.process.is_some());
    let router = live.ok_or_else(|| Report::new(TaskError))?;
    let prompt = ChatPrompt { text: "Why here?".into(), tokens: 1 };
    let path = "/v1/chat/completions";
    let headers = [("x-chat-id", "chat-1")];
    let answer = fleet
        .client()
        .call(Method::POST, router.caller_address, path, &headers, prompt.body())
        .await;
    let answer = answer.change_context(TaskError)?;
    let path = format!("/admin/v1/explain/{}", answer.header("x-request-id"));
    let explained: Value =
        fleet.client().get_json(router.operator_address, &path).await.change_context(TaskError)?;
    println!("explanation of one request:");
    let sentences = explained["decisions"].as_array().cloned().unwrap_or_default();
    for sentence in &sentences {
        println!("  {}", sentence.as_str().unwrap_or_default());
    }
    if sentences.is_empty() {
        return Err(Report::new(TaskError).attach("the router has no explanation of the request"));
    }
    Ok(())
}

fn wait_for_input(fleet: &LocalFleet) {
    for router in fleet.routers.iter().filter(|router| router.process.is_some()) {
        println!(
            "{}: callers {}, operators {}",
            router.host, router.caller_address, router.operator_address
        );
    }
    println!("platform: {}", fleet.platform);
    println!("operator's token: {}", local_fleet::OPERATOR_TOKEN);
    println!("The fleet runs until a line is read from standard input.");
    let mut line = String::new();
    // If standard input is closed, the fleet stops at once.
    let _ = std::io::stdin().read_line(&mut line);
}
