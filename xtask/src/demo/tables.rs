//! An edit of a table, and the time until it is in force on every router.

use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use http::Method;
use local_fleet::LocalFleet;
use serde_json::{Value, json};

use crate::steps::TaskError;

/// Time within which an accepted edit must be in force everywhere.
pub(crate) const SPREAD_MAX: Duration = Duration::from_secs(7);
const POLL: Duration = Duration::from_millis(5);
const PATH: &str = "/admin/v1/pools/assistant";

/// Edits a pool through one router and waits until every router has the new version in force.
pub(crate) async fn edit_pool(fleet: &LocalFleet) -> Result<Duration, Report<TaskError>> {
    let operator = fleet.routers[0].operator;
    let shown = fleet.caller().call(Method::GET, operator, PATH, &[], "").await;
    let shown = shown.change_context(TaskError)?;
    let mut row: Value = shown.json().change_context(TaskError)?;
    row["max_load_ratio"] = json!(1.25);
    let headers = [("if-match", shown.header("etag")), ("x-change-reason", "demonstration")];
    let put = fleet.caller().call(Method::PUT, operator, PATH, &headers, row.to_string()).await;
    let put = put.change_context(TaskError)?;
    if !put.status.is_success() {
        let body = String::from_utf8_lossy(&put.body).into_owned();
        return Err(Report::new(TaskError).attach(format!("the edit was refused: {body}")));
    }
    let version: u64 = put.header("etag").trim_matches('"').parse().change_context(TaskError)?;
    println!("edited pool assistant, now at version {version}");
    wait_in_force(fleet, version).await
}

async fn wait_in_force(fleet: &LocalFleet, version: u64) -> Result<Duration, Report<TaskError>> {
    let start = Instant::now();
    for router in &fleet.routers {
        while !holds(fleet, router.operator, version).await {
            if start.elapsed() > SPREAD_MAX {
                let late = format!("{} does not have the edit in force in time", router.host);
                return Err(Report::new(TaskError).attach(late));
            }
            tokio::time::sleep(POLL).await;
        }
    }
    Ok(start.elapsed())
}

async fn holds(fleet: &LocalFleet, operator: std::net::SocketAddr, version: u64) -> bool {
    let status = fleet.caller().read::<Value>(operator, "/admin/v1/status").await;
    let rows = status.map(|status| status["rows"].clone()).unwrap_or_default();
    rows.as_array().into_iter().flatten().any(|row| row["version"].as_u64() == Some(version))
}
