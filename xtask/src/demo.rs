//! The demonstration: a fleet on loopback that is used and broken on the way.

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
        payments::{count_doubles, run_payments},
        report::DemoReport,
        tables::edit_pool,
        watch::{FleetWatch, control_bytes},
    },
    soak::{SoakTask, soak_once},
    steps::{TaskError, cargo, program_folder},
};

/// Time from the start of the load until a target and then a router are killed.
const KILL_AFTER: Duration = Duration::from_millis(1500);
const KILLED_ENGINE: usize = 0;

/// Seed of callers and faults on the users' platform.
const DEMO_SEED: u64 = 1;

/// Builds and starts the fleet, uses it, and fails when a promise was broken.
pub(crate) fn run_demo(keep: bool) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    runtime.block_on(show(keep))?;
    show_gateways()
}

/// Runs gateways on the users' platform under some faults, on sockets.
fn show_gateways() -> Result<(), Report<TaskError>> {
    println!("the users' platform: 5 gateways, 4 runners, a stand-in store, two series of faults");
    soak_once(SoakTask::default(), DEMO_SEED)
        .and_then(|kept| if kept { Ok(()) } else { Err(Report::new(TaskError)) })
}

async fn show(keep: bool) -> Result<(), Report<TaskError>> {
    let programs = program_folder("release")?;
    let workdir = programs.join("demo");
    let plan = FleetPlan::new(&programs, &workdir);
    println!("starting 7 routers in 4 failure domains, 12 engines, 4 services");
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    let mut report = DemoReport { edit_spread: edit_pool(&fleet).await?, ..DemoReport::default() };
    use_fleet(&mut fleet, &mut report).await?;
    explain_one(&fleet).await?;
    report.run_twice = count_doubles(&fleet).await?;
    report.print();
    if keep {
        keep_up(&fleet);
    }
    report.judge()
}

/// Runs chats and payments at once, kills an engine and a router under them, and notes the ends.
async fn use_fleet(
    fleet: &mut LocalFleet,
    report: &mut DemoReport,
) -> Result<(), Report<TaskError>> {
    println!("sending chats and payments; an engine and a router are killed on the way");
    let caller = FleetCaller::new(fleet);
    let watch = FleetWatch::start(fleet);
    let before = control_bytes(fleet).await;
    let chats = tokio::spawn(run_chats(caller.clone()));
    let payments = tokio::spawn(run_payments(caller));
    tokio::time::sleep(KILL_AFTER).await;
    kill_engine(fleet).await?;
    tokio::time::sleep(KILL_AFTER).await;
    kill_router(fleet).await?;
    report.chats = chats.await.change_context(TaskError)?;
    report.payments = payments.await.change_context(TaskError)?;
    report.control = before.rate_until(&control_bytes(fleet).await);
    report.skew = watch.finish().await?;
    Ok(())
}

async fn kill_engine(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    let engine = &fleet.engines[KILLED_ENGINE];
    let load: Value =
        fleet.caller().read(engine.address, "/load").await.change_context(TaskError)?;
    println!("killing {} while it runs {} requests", engine.host, load["in_flight"]);
    fleet.engines[KILLED_ENGINE].process = None;
    Ok(())
}

/// Kills the router that serves the most requests.
async fn kill_router(fleet: &mut LocalFleet) -> Result<(), Report<TaskError>> {
    let mut busiest = (0, 0);
    for (index, router) in fleet.routers.iter().enumerate() {
        let status = fleet.caller().read::<Value>(router.operator, "/admin/v1/status").await;
        let requests = status.change_context(TaskError)?["requests"].as_u64().unwrap_or_default();
        busiest = busiest.max((requests, index));
    }
    let (requests, index) = busiest;
    println!("killing {} while it serves {requests} requests", fleet.routers[index].host);
    fleet.routers[index].process = None;
    Ok(())
}

async fn explain_one(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let live = fleet.routers.iter().find(|router| router.process.is_some());
    let router = live.ok_or_else(|| Report::new(TaskError))?;
    let prompt = ChatPrompt { text: "Why here?".into(), tokens: 1 };
    let path = "/v1/chat/completions";
    let headers = [("x-chat-id", "chat-1")];
    let answer =
        fleet.caller().call(Method::POST, router.caller, path, &headers, prompt.body()).await;
    let answer = answer.change_context(TaskError)?;
    let path = format!("/admin/v1/explain/{}", answer.header("x-request-id"));
    let explained: Value =
        fleet.caller().read(router.operator, &path).await.change_context(TaskError)?;
    println!("explanation of one request:");
    let sentences = explained["decisions"].as_array().cloned().unwrap_or_default();
    for sentence in &sentences {
        println!("  {}", sentence.as_str().unwrap_or_default());
    }
    if sentences.is_empty() {
        return Err(Report::new(TaskError).attach("a decision could not be explained"));
    }
    Ok(())
}

fn keep_up(fleet: &LocalFleet) {
    for router in fleet.routers.iter().filter(|router| router.process.is_some()) {
        println!("{}: callers {}, operators {}", router.host, router.caller, router.operator);
    }
    println!("platform: {}", fleet.platform);
    println!("operator's token: {}", local_fleet::OPERATOR_TOKEN);
    println!("The fleet stays up until a line is read.");
    let mut line = String::new();
    // Without a standard input the fleet ends at once.
    let _ = std::io::stdin().read_line(&mut line);
}
