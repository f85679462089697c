//! The demonstration: a fleet on loopback that is used and broken on the way.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::{ChatPrompt, FleetPlan, LocalFleet};
use serde_json::Value;

use crate::steps::{TaskError, cargo, program_folder};

const CHATS: usize = 40;
const TURNS: usize = 3;
const PAYMENTS: usize = 20;

/// What the demonstration saw.
#[derive(Debug, Default)]
struct DemoReport {
    answers: usize,
    whole: usize,
    prompt_bytes: u64,
    cached_bytes: u64,
    payments: usize,
    payments_confirmed: usize,
    run_twice: usize,
}

/// Builds and starts the fleet, uses it, and fails when a promise was broken.
pub(crate) fn run_demo(keep: bool) -> Result<(), Report<TaskError>> {
    cargo(&["build", "--locked", "--release", "--package", "knapweedport", "--package", "fakes"])?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(TaskError)?;
    runtime.block_on(show(keep))
}

async fn show(keep: bool) -> Result<(), Report<TaskError>> {
    let programs = program_folder("release")?;
    let workdir = programs.join("demo");
    let plan = FleetPlan::new(&programs, &workdir);
    let mut fleet = LocalFleet::start(plan).await.change_context(TaskError)?;
    fleet.put_tables().await.change_context(TaskError)?;
    let mut report = DemoReport::default();
    send_chats(&fleet, &mut report).await?;
    send_payments(&fleet, &mut report).await?;
    fleet.engines[0].process = None;
    fleet.routers[6].process = None;
    send_chats(&fleet, &mut report).await?;
    send_payments(&fleet, &mut report).await?;
    explain_one(&fleet).await?;
    report.run_twice = count_doubles(&fleet).await?;
    print_report(&report);
    if keep {
        keep_up(&fleet);
    }
    judge(&report)
}

async fn entry(fleet: &LocalFleet, index: usize) -> Result<SocketAddr, Report<TaskError>> {
    let live: Vec<_> = fleet.routers.iter().filter(|router| router.process.is_some()).collect();
    let asked = live[index % live.len()].caller;
    let answer: Value = fleet.caller().read(asked, "/v1/entry").await.change_context(TaskError)?;
    let addresses = answer["addresses"].as_array().cloned().unwrap_or_default();
    let named: Vec<SocketAddr> = addresses
        .iter()
        .filter_map(|entry| entry["address"].as_str()?.parse().ok())
        .filter(|address| live.iter().any(|router| router.caller == *address))
        .collect();
    named
        .get(index % named.len().max(1))
        .copied()
        .ok_or_else(|| Report::new(TaskError).attach("the entry answer names no live router"))
}

async fn send_chats(fleet: &LocalFleet, report: &mut DemoReport) -> Result<(), Report<TaskError>> {
    for turn in 1..=TURNS {
        for chat in 0..CHATS {
            let text = format!("Catalogue of mouldings. Chat {chat}. ").repeat(turn * 20);
            let prompt = ChatPrompt { text: text.into(), tokens: 4 };
            let address = entry(fleet, chat + turn).await?;
            let chat_name = format!("chat-{chat}");
            let headers = [("x-chat-id", &*chat_name), ("x-client-account", "counter")];
            let path = "/v1/chat/completions";
            report.answers += 1;
            let answer =
                fleet.caller().call(Method::POST, address, path, &headers, prompt.body()).await;
            let Ok(answer) = answer else { continue };
            if let Ok(chat) = prompt.check(&answer) {
                report.whole += 1;
                report.prompt_bytes += prompt.text.len() as u64;
                report.cached_bytes += chat.cached_bytes;
            }
        }
    }
    Ok(())
}

async fn send_payments(
    fleet: &LocalFleet,
    report: &mut DemoReport,
) -> Result<(), Report<TaskError>> {
    for payment in 0..PAYMENTS {
        let operation = format!("payment-{}-{payment}", report.payments / PAYMENTS);
        report.payments += 1;
        let mut confirmed = 0;
        for resend in 0..2 {
            let address = entry(fleet, payment + resend).await?;
            let headers = [("idempotency-key", &*operation)];
            let body = format!("amount {payment}");
            let answer = fleet.caller().call(Method::POST, address, "/pay", &headers, body).await;
            confirmed += usize::from(answer.is_ok_and(|answer| answer.status.is_success()));
        }
        report.payments_confirmed += usize::from(confirmed == 2);
    }
    Ok(())
}

async fn explain_one(fleet: &LocalFleet) -> Result<(), Report<TaskError>> {
    let router = &fleet.routers[0];
    let prompt = ChatPrompt { text: "Why here?".into(), tokens: 1 };
    let path = "/v1/chat/completions";
    let answer = fleet.caller().call(Method::POST, router.caller, path, &[], prompt.body()).await;
    let answer = answer.change_context(TaskError)?;
    let path = format!("/admin/v1/explain/{}", answer.header("x-request-id"));
    let explained: Value =
        fleet.caller().read(router.operator, &path).await.change_context(TaskError)?;
    println!("Explanation of one request:");
    for sentence in explained["decisions"].as_array().into_iter().flatten() {
        println!("  {}", sentence.as_str().unwrap_or_default());
    }
    Ok(())
}

async fn count_doubles(fleet: &LocalFleet) -> Result<usize, Report<TaskError>> {
    let mut runs = std::collections::BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        let counts: std::collections::BTreeMap<String, u64> =
            fleet.caller().read(service.address, "/runs").await.change_context(TaskError)?;
        for (operation, count) in counts {
            *runs.entry(operation).or_default() += count;
        }
    }
    Ok(runs.values().filter(|count| **count > 1).count())
}

fn print_report(report: &DemoReport) {
    println!("chats answered whole   {} of {}", report.whole, report.answers);
    let reuse = report.cached_bytes as f64 / report.prompt_bytes.max(1) as f64;
    println!("prompt bytes reused    {reuse:.2}");
    println!("payments confirmed     {} of {}", report.payments_confirmed, report.payments);
    println!("operations run twice   {}", report.run_twice);
}

fn judge(report: &DemoReport) -> Result<(), Report<TaskError>> {
    if report.run_twice > 0 || report.whole < report.answers {
        return Err(Report::new(TaskError).attach("a promise was broken"));
    }
    Ok(())
}

fn keep_up(fleet: &LocalFleet) {
    for router in &fleet.routers {
        println!("{}: callers {}, operators {}", router.host, router.caller, router.operator);
    }
    println!("platform: {}", fleet.platform);
    println!("The fleet stays up until a line is read.");
    let mut line = String::new();
    let _ = std::io::stdin().read_line(&mut line);
}
