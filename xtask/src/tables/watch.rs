//! Asks one router again and again what it has in force.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base_types::{HostName, RowVersion};
use history_check::RowView;
use local_fleet::HttpCaller;
use serde_json::{Value, json};

use crate::tables::RunLog;

const ASK_EVERY: Duration = Duration::from_millis(25);

/// Writes down every answer of a router that has its tables.
pub(super) async fn watch_router(
    caller: HttpCaller,
    host: Box<str>,
    address: SocketAddr,
    log: Arc<RunLog>,
    run: Duration,
) {
    let router = HostName::new(&host);
    while log.start.elapsed() < run {
        let asked = log.now();
        let status = caller.read::<Value>(address, "/admin/v1/status").await;
        let status = status.ok().filter(|status| status["tables_complete"] == json!(true));
        if let Some(status) = status {
            let rows = status["rows"].as_array().into_iter().flatten();
            let versions = rows.filter_map(|row| {
                Some((row["key"].as_str()?.into(), RowVersion(row["version"].as_u64()?)))
            });
            let versions = versions.collect();
            let answered = log.now();
            log.view(RowView { router: router.clone(), asked, answered, versions });
        }
        tokio::time::sleep(ASK_EVERY).await;
    }
}
