//! Edits a table and measures the time until the edit is in force on every router.

use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::LocalFleet;
use serde_json::{Value, json};

use crate::steps::TaskError;

/// Time within which an accepted edit must be in force everywhere.
pub(crate) const EDIT_DELAY_MAX: Duration = Duration::from_secs(7);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const PATH: &str = "/admin/v1/pools/assistant";

/// Edits a pool through one router and waits until every router has the new version in force.
pub(crate) async fn edit_pool(fleet: &LocalFleet) -> Result<Duration, Report<TaskError>> {
    let operator = fleet.routers[0].operator_address;
    let current = fleet.client().call(Method::GET, operator, PATH, &[], "").await;
    let current = current.change_context(TaskError)?;
    let mut row: Value = current.json().change_context(TaskError)?;
    row["max_load_ratio"] = json!(1.25);
    let headers = [("if-match", current.header("etag")), ("x-change-reason", "demonstration")];
    let answer = fleet.client().call(Method::PUT, operator, PATH, &headers, row.to_string()).await;
    let answer = answer.change_context(TaskError)?;
    if !answer.status.is_success() {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(Report::new(TaskError).attach(format!("the edit was refused: {body}")));
    }
    let version: u64 = answer.header("etag").trim_matches('"').parse().change_context(TaskError)?;
    println!("edited pool assistant, now at version {version}");
    wait_in_force(fleet, version).await
}

async fn wait_in_force(fleet: &LocalFleet, version: u64) -> Result<Duration, Report<TaskError>> {
    let start = Instant::now();
    for router in &fleet.routers {
        while !has_version_in_force(fleet, router.operator_address, version).await {
            if start.elapsed() > EDIT_DELAY_MAX {
                let message = format!("{} did not apply the edit in time", router.host);
                return Err(Report::new(TaskError).attach(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(start.elapsed())
}

async fn has_version_in_force(
    fleet: &LocalFleet,
    operator: std::net::SocketAddr,
    version: u64,
) -> bool {
    let status = fleet.client().get_json::<Value>(operator, "/admin/v1/status").await;
    let rows = status.map(|status| status["rows"].clone()).unwrap_or_default();
    rows.as_array().into_iter().flatten().any(|row| row["version"].as_u64() == Some(version))
}
