//! The phases of a measurement: idle, edits, load, churn.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::{ChatPrompt, LocalFleet};
use serde_json::{Value, json};

use crate::{capacity::sample::FleetSample, steps::TaskError};

/// Time for the fleet to become idle before the first phase.
const START_UP_TIME: Duration = Duration::from_secs(8);
const KILL_INTERVAL: Duration = Duration::from_secs(6);
const DOWNTIME: Duration = Duration::from_secs(3);
/// Interval of edits at a rate of 17,000 per day, the rate that users require.
const EDIT_INTERVAL: Duration = Duration::from_millis(86_400_000 / 17_000);
const CHAT_INTERVAL: Duration = Duration::from_millis(25);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLLS_MAX: usize = 500;

/// Measurements of one phase. The fields are printed by name.
#[derive(Debug, Clone)]
pub(crate) struct PhaseResult {
    /// Number of routers.
    pub(crate) size: usize,
    /// Name of the phase.
    pub(crate) phase: &'static str,
    /// Control bytes sent per second: mean and maximum over the routers.
    pub(crate) sent: (f64, f64),
    /// Control bytes received per second: mean over the routers.
    pub(crate) received: f64,
    /// Control bytes sent per second by message kind: mean over the routers.
    pub(crate) kinds: BTreeMap<String, f64>,
    /// CPU time in percent of one core: mean and maximum over the routers.
    pub(crate) processor: (f64, f64),
    /// Resident memory in MiB: mean and maximum over the routers.
    pub(crate) memory: (f64, f64),
    /// Platform calls per second of the entire fleet.
    pub(crate) calls: f64,
    /// Longest time in seconds until all routers knew of an event, and the number of events; absent
    /// in phases without events.
    pub(crate) known: Option<(f64, usize)>,
}

/// Runs all phases on one fleet.
pub(crate) async fn run_phases(
    fleet: &mut LocalFleet,
    seconds: u64,
) -> Result<Vec<PhaseResult>, Report<TaskError>> {
    let duration = Duration::from_secs(seconds);
    tokio::time::sleep(START_UP_TIME).await;
    let mut results = Vec::new();
    let before = FleetSample::take(fleet).await;
    tokio::time::sleep(duration).await;
    results.push(measure_phase(fleet, "idle", &before, None).await);
    let before = FleetSample::take(fleet).await;
    let propagation = add_rows(fleet, duration).await?;
    results.push(measure_phase(fleet, "17,000 edits a day", &before, propagation).await);
    let before = FleetSample::take(fleet).await;
    send_chats(fleet, duration).await;
    results.push(measure_phase(fleet, "40 chats a second", &before, None).await);
    let before = FleetSample::take(fleet).await;
    let propagation = kill_routers(fleet, duration).await?;
    results.push(measure_phase(fleet, "a kill every 6 s", &before, propagation).await);
    Ok(results)
}

async fn measure_phase(
    fleet: &LocalFleet,
    phase: &'static str,
    before: &FleetSample,
    propagation: Option<(f64, usize)>,
) -> PhaseResult {
    let after = FleetSample::take(fleet).await;
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    let pairs: Vec<_> = after
        .routers
        .iter()
        .filter_map(|(index, after)| Some((before.routers.get(index)?, after)))
        .filter(|(before, after)| before.pid == after.pid)
        .collect();
    let rate = |read: fn(&super::sample::RouterSample) -> f64| {
        let rates = pairs.iter().map(|(before, after)| (read(after) - read(before)) / seconds);
        mean_and_max(rates.collect())
    };
    let mut kinds = BTreeMap::new();
    for (before, after) in &pairs {
        for (kind, bytes) in &after.sent_by_kind {
            let increase = bytes - before.sent_by_kind.get(kind).copied().unwrap_or_default();
            *kinds.entry(kind.clone()).or_default() += increase / seconds / pairs.len() as f64;
        }
    }
    let calls =
        after.platform_calls.values().sum::<f64>() - before.platform_calls.values().sum::<f64>();
    let cpu_percent = rate(|router| router.cpu_seconds * 100.0);
    let result = PhaseResult {
        size: fleet.routers.len(),
        phase,
        sent: rate(|router| router.sent_bytes),
        received: rate(|router| router.received_bytes).0,
        kinds,
        processor: cpu_percent,
        memory: mean_and_max(pairs.iter().map(|(_, after)| after.resident_mib).collect()),
        calls: calls / seconds,
        known: propagation,
    };
    println!("{result:?}");
    result
}

fn mean_and_max(values: Vec<f64>) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    (mean, values.into_iter().fold(0.0, f64::max))
}

/// Adds rows one after another, at most one per `EDIT_INTERVAL`, and measures how long each takes
/// to be in force on all routers.
async fn add_rows(
    fleet: &LocalFleet,
    duration: Duration,
) -> Result<Option<(f64, usize)>, Report<TaskError>> {
    let deadline = Instant::now() + duration;
    let mut longest: f64 = 0.0;
    let mut edits = 0;
    while Instant::now() < deadline {
        let next_at = tokio::time::Instant::now() + EDIT_INTERVAL;
        let name = format!("capacity-{edits}");
        let row = json!({
            "name": name, "team": "renewals", "path": format!("/{name}"), "pool": "assistant",
        });
        let router = edits % fleet.routers.len();
        let path = format!("routes/{name}");
        fleet.put_row(router, &path, None, &row).await.change_context(TaskError)?;
        let accepted_at = Instant::now();
        let has_row = |status: &Value| {
            let rows = status["rows"].as_array();
            rows.is_some_and(|rows| rows.iter().any(|row| row["key"] == json!(path)))
        };
        wait_until_all(fleet, has_row).await?;
        longest = longest.max(accepted_at.elapsed().as_secs_f64());
        edits += 1;
        tokio::time::sleep_until(next_at).await;
    }
    Ok(Some((longest, edits)))
}

/// Kills and restarts one router after another and measures how long all others take to detect each
/// kill.
async fn kill_routers(
    fleet: &mut LocalFleet,
    duration: Duration,
) -> Result<Option<(f64, usize)>, Report<TaskError>> {
    let deadline = Instant::now() + duration;
    let mut longest: f64 = 0.0;
    let mut kills = 0;
    while Instant::now() < deadline {
        let next_at = tokio::time::Instant::now() + KILL_INTERVAL;
        let victim = kills % fleet.routers.len();
        let host = fleet.routers[victim].host.clone();
        fleet.routers[victim].process = None;
        let killed_at = Instant::now();
        let has_detected_kill = |status: &Value| {
            let members = status["peers"]["members"].as_array();
            members.is_some_and(|members| {
                let member = members.iter().find(|member| member["host"] == json!(host));
                member.is_none_or(|member| member["state"] == json!("failed"))
            })
        };
        wait_until_all(fleet, has_detected_kill).await?;
        longest = longest.max(killed_at.elapsed().as_secs_f64());
        kills += 1;
        tokio::time::sleep_until(tokio::time::Instant::from_std(killed_at + DOWNTIME)).await;
        fleet.start_router(victim).change_context(TaskError)?;
        tokio::time::sleep_until(next_at).await;
    }
    Ok(Some((longest, kills)))
}

/// Sends chats at a constant rate to all routers in turn and ignores their answers.
async fn send_chats(fleet: &LocalFleet, duration: Duration) {
    let deadline = Instant::now() + duration;
    let mut sent = 0;
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < deadline {
        let address = fleet.routers[sent % fleet.routers.len()].caller_address;
        let client = fleet.client().clone();
        let chat = format!("chat-{}", sent % 400);
        calls.spawn(async move {
            let prompt = ChatPrompt { text: "A quote for oak. ".repeat(20).into(), tokens: 20 };
            let headers = [("x-chat-id", &*chat), ("x-client-account", "counter")];
            let path = "/v1/chat/completions";
            client.call(Method::POST, address, path, &headers, prompt.body()).await.is_ok()
        });
        sent += 1;
        tokio::time::sleep(CHAT_INTERVAL).await;
    }
    while calls.join_next().await.is_some() {}
}

/// Waits until the status of every running router satisfies a condition.
async fn wait_until_all(
    fleet: &LocalFleet,
    condition: impl Fn(&Value) -> bool,
) -> Result<(), Report<TaskError>> {
    let mut waiting: Vec<_> =
        fleet.routers.iter().filter(|router| router.process.is_some()).collect();
    for _ in 0..POLLS_MAX {
        let mut remaining = Vec::new();
        for router in waiting {
            let status =
                fleet.client().get_json::<Value>(router.operator_address, "/admin/v1/status").await;
            if !status.is_ok_and(|status| condition(&status)) {
                remaining.push(router);
            }
        }
        if remaining.is_empty() {
            return Ok(());
        }
        waiting = remaining;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let hosts: Vec<&str> = waiting.iter().map(|router| &*router.host).collect();
    Err(Report::new(TaskError).attach(format!(
        "the event was not visible in the status of {} after {POLLS_MAX} polls",
        hosts.join(", ")
    )))
}
