//! Samples which table rows a router has in force.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base_types::RowVersion;
use history_check::TableObservation;
use local_fleet::HttpClient;
use serde_json::{Value, json};

use crate::configure::ConfigureRun;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Records which rows a router has in force, pausing `SAMPLE_INTERVAL` between samples, until the
/// task is aborted. Samples with incomplete tables or no answer are skipped.
pub(super) async fn watch_router(
    run: Rc<ConfigureRun>,
    client: HttpClient,
    router: usize,
    operator: SocketAddr,
) {
    loop {
        let requested_at = run.now();
        let status = client.get_json::<Value>(operator, "/admin/v1/status").await;
        let is_complete = |status: &Value| status["tables_complete"] == json!(true);
        if let Some(status) = status.ok().filter(is_complete) {
            let observation = TableObservation {
                router,
                requested_at,
                received_at: run.now(),
                rows: row_versions(&status),
            };
            run.history.borrow_mut().observations.push(observation);
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn row_versions(status: &Value) -> BTreeMap<Box<str>, RowVersion> {
    let rows = status["rows"].as_array().into_iter().flatten();
    rows.filter_map(|row| {
        let version = row["version"].as_u64()?;
        Some((row["key"].as_str()?.into(), RowVersion(version)))
    })
    .collect()
}
