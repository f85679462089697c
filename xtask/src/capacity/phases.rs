//! The phases of a measurement: idle, churn, edits, load.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::{ChatPrompt, LocalFleet};
use serde_json::{Value, json};

use crate::{capacity::sample::FleetSample, steps::TaskError};

const SETTLE: Duration = Duration::from_secs(8);
const CHURN_EVERY: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_secs(3);
/// Time between edits at 17,000 a day.
const EDIT_EVERY: Duration = Duration::from_millis(86_400_000 / 17_000);
const CHAT_EVERY: Duration = Duration::from_millis(25);
const POLL: Duration = Duration::from_millis(20);
const POLLS_MAX: usize = 500;

/// What a phase measured.
#[derive(Debug, Clone)]
pub(crate) struct PhaseResult {
    /// Number of routers.
    pub(crate) size: usize,
    /// Name of the phase.
    pub(crate) phase: &'static str,
    /// Mean and highest of the routers, bytes sent a second.
    pub(crate) sent: (f64, f64),
    /// Mean of the routers, bytes received a second.
    pub(crate) received: f64,
    /// Mean of the routers, bytes sent a second by kind.
    pub(crate) kinds: BTreeMap<String, f64>,
    /// Mean and highest of the routers, percent of a core.
    pub(crate) processor: (f64, f64),
    /// Mean and highest of the routers, resident MB.
    pub(crate) memory: (f64, f64),
    /// Calls of the platform a second, of the whole fleet.
    pub(crate) calls: f64,
    /// Longest time until an event was known to all routers, in seconds, and the events seen.
    pub(crate) known: Option<(f64, usize)>,
}

/// Runs all phases on one fleet.
pub(crate) async fn run_phases(
    fleet: &mut LocalFleet,
    seconds: u64,
) -> Result<Vec<PhaseResult>, Report<TaskError>> {
    let span = Duration::from_secs(seconds);
    tokio::time::sleep(SETTLE).await;
    let mut results = Vec::new();
    let before = FleetSample::take(fleet).await;
    tokio::time::sleep(span).await;
    results.push(result(fleet, "idle", &before, None).await);
    let before = FleetSample::take(fleet).await;
    let known = edit(fleet, span).await?;
    results.push(result(fleet, "17,000 edits a day", &before, known).await);
    let before = FleetSample::take(fleet).await;
    send_chats(fleet, span).await;
    results.push(result(fleet, "40 chats a second", &before, None).await);
    let before = FleetSample::take(fleet).await;
    let known = churn(fleet, span).await?;
    results.push(result(fleet, "a kill every 6 s", &before, known).await);
    Ok(results)
}

async fn result(
    fleet: &LocalFleet,
    phase: &'static str,
    before: &FleetSample,
    known: Option<(f64, usize)>,
) -> PhaseResult {
    let after = FleetSample::take(fleet).await;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let pairs: Vec<_> = after
        .routers
        .iter()
        .filter_map(|(index, after)| Some((before.routers.get(index)?, after)))
        .filter(|(before, after)| before.pid == after.pid)
        .collect();
    let rate = |read: fn(&super::sample::RouterSample) -> f64| {
        let rates = pairs.iter().map(|(before, after)| (read(after) - read(before)) / seconds);
        mean_and_highest(rates.collect())
    };
    let mut kinds = BTreeMap::new();
    for (before, after) in &pairs {
        for (kind, bytes) in &after.kinds {
            let grown = bytes - before.kinds.get(kind).copied().unwrap_or_default();
            *kinds.entry(kind.clone()).or_default() += grown / seconds / pairs.len() as f64;
        }
    }
    let calls = after.calls.values().sum::<f64>() - before.calls.values().sum::<f64>();
    let processor = rate(|router| router.processor * 100.0);
    let result = PhaseResult {
        size: fleet.routers.len(),
        phase,
        sent: rate(|router| router.sent),
        received: rate(|router| router.received).0,
        kinds,
        processor,
        memory: mean_and_highest(pairs.iter().map(|(_, after)| after.memory).collect()),
        calls: calls / seconds,
        known,
    };
    println!("{result:?}");
    result
}

fn mean_and_highest(values: Vec<f64>) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    (mean, values.into_iter().fold(0.0, f64::max))
}

/// Adds rows at the rate of the letter and times until each is in force on all routers.
async fn edit(
    fleet: &LocalFleet,
    span: Duration,
) -> Result<Option<(f64, usize)>, Report<TaskError>> {
    let end = Instant::now() + span;
    let mut longest: f64 = 0.0;
    let mut edits = 0;
    while Instant::now() < end {
        let next = tokio::time::Instant::now() + EDIT_EVERY;
        let name = format!("capacity-{edits}");
        let row = json!({
            "name": name, "team": "renewals", "path": format!("/{name}"), "pool": "assistant",
        });
        let router = edits % fleet.routers.len();
        let path = format!("routes/{name}");
        fleet.put_row(router, &path, None, &row).await.change_context(TaskError)?;
        let accepted = Instant::now();
        let has_row = |status: &Value| {
            let rows = status["rows"].as_array();
            rows.is_some_and(|rows| rows.iter().any(|row| row["key"] == json!(path)))
        };
        wait_all(fleet, has_row).await?;
        longest = longest.max(accepted.elapsed().as_secs_f64());
        edits += 1;
        tokio::time::sleep_until(next).await;
    }
    Ok(Some((longest, edits)))
}

/// Kills and restarts one router after another and times until all others know of each kill.
async fn churn(
    fleet: &mut LocalFleet,
    span: Duration,
) -> Result<Option<(f64, usize)>, Report<TaskError>> {
    let end = Instant::now() + span;
    let mut longest: f64 = 0.0;
    let mut kills = 0;
    while Instant::now() < end {
        let next = tokio::time::Instant::now() + CHURN_EVERY;
        let victim = kills % fleet.routers.len();
        let host = fleet.routers[victim].host.clone();
        fleet.routers[victim].process = None;
        let killed = Instant::now();
        let knows = |status: &Value| {
            let members = status["peers"]["members"].as_array();
            members.is_some_and(|members| {
                let own = members.iter().find(|member| member["host"] == json!(host));
                own.is_none_or(|own| own["state"] == json!("failed"))
            })
        };
        wait_all(fleet, knows).await?;
        longest = longest.max(killed.elapsed().as_secs_f64());
        kills += 1;
        tokio::time::sleep_until(tokio::time::Instant::from_std(killed + DOWN)).await;
        fleet.start_router(victim).change_context(TaskError)?;
        tokio::time::sleep_until(next).await;
    }
    Ok(Some((longest, kills)))
}

/// Sends chats at a steady rate to all routers in turn; their answers are not looked at.
async fn send_chats(fleet: &LocalFleet, span: Duration) {
    let end = Instant::now() + span;
    let mut sent = 0;
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < end {
        let address = fleet.routers[sent % fleet.routers.len()].caller;
        let caller = fleet.caller().clone();
        let chat = format!("chat-{}", sent % 400);
        calls.spawn(async move {
            let prompt = ChatPrompt { text: "A quote for oak. ".repeat(20).into(), tokens: 20 };
            let headers = [("x-chat-id", &*chat), ("x-client-account", "counter")];
            let path = "/v1/chat/completions";
            caller.call(Method::POST, address, path, &headers, prompt.body()).await.is_ok()
        });
        sent += 1;
        tokio::time::sleep(CHAT_EVERY).await;
    }
    while calls.join_next().await.is_some() {}
}

/// Waits until the status of every running router fulfils a condition.
async fn wait_all(
    fleet: &LocalFleet,
    ready: impl Fn(&Value) -> bool,
) -> Result<(), Report<TaskError>> {
    let mut waiting: Vec<_> =
        fleet.routers.iter().filter(|router| router.process.is_some()).collect();
    for _ in 0..POLLS_MAX {
        let mut left = Vec::new();
        for router in waiting {
            let status = fleet.caller().read::<Value>(router.operator, "/admin/v1/status").await;
            if !status.is_ok_and(|status| ready(&status)) {
                left.push(router);
            }
        }
        if left.is_empty() {
            return Ok(());
        }
        waiting = left;
        tokio::time::sleep(POLL).await;
    }
    let hosts: Vec<&str> = waiting.iter().map(|router| &*router.host).collect();
    Err(Report::new(TaskError).attach(format!("not known in time on {}", hosts.join(", "))))
}
