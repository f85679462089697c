//! Reading the host list and the tables from the platform.

use std::time::Duration;

use base_types::{PoolName, RouteName, RowVersion};
use core_router::{Event, HostEntry, HostRole, HostState};
use error_stack::Report;
use io_platform::{HostRow, ObjectRecord, PlatformClient, PlatformError};
use state_tables::{RowChange, RowContent, RowKey};

use crate::handle::LoopHandle;

const HOSTS_EVERY: Duration = Duration::from_millis(500);
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
const WATCH_WAIT: Duration = Duration::from_secs(10);

pub(crate) const ROUTE_PREFIX: &str = "routes/";
pub(crate) const POOL_PREFIX: &str = "pools/";

/// Reads hosts and tables for as long as the process runs.
pub(crate) async fn watch_platform(platform: PlatformClient, handle: LoopHandle) {
    tokio::task::spawn_local(poll_hosts(platform.clone(), handle.clone()));
    let mut revision = read_tables(&platform, &handle).await;
    loop {
        match platform.watch("", revision, WATCH_WAIT).await {
            Ok(answer) => {
                revision = answer.revision;
                post_rows(&handle, answer.events);
            }
            Err(report) => {
                wait_after(&report).await;
                revision = read_tables(&platform, &handle).await;
            }
        }
    }
}

async fn poll_hosts(platform: PlatformClient, handle: LoopHandle) {
    loop {
        match platform.hosts().await {
            Ok(list) => {
                let hosts = list.hosts.into_iter().map(host_entry).collect();
                handle.post(Event::HostsListed(hosts));
            }
            Err(report) => log::warn!("host list not read: {report:?}"),
        }
        tokio::time::sleep(HOSTS_EVERY).await;
    }
}

/// Reads all rows, trying again until the platform answers.
async fn read_tables(platform: &PlatformClient, handle: &LoopHandle) -> RowVersion {
    loop {
        match read_tables_once(platform, handle).await {
            Ok(revision) => return revision,
            Err(report) => wait_after(&report).await,
        }
    }
}

async fn read_tables_once(
    platform: &PlatformClient,
    handle: &LoopHandle,
) -> Result<RowVersion, Report<PlatformError>> {
    let routes = platform.list(ROUTE_PREFIX).await?;
    let pools = platform.list(POOL_PREFIX).await?;
    post_rows(handle, pools.objects);
    post_rows(handle, routes.objects);
    handle.post(Event::TablesComplete);
    Ok(routes.revision)
}

async fn wait_after(report: &Report<PlatformError>) {
    log::warn!("tables not read: {report:?}");
    tokio::time::sleep(RETRY_AFTER_FAILURE).await;
}

fn post_rows(handle: &LoopHandle, objects: Vec<ObjectRecord>) {
    for change in objects.into_iter().filter_map(row_change) {
        handle.post(Event::RowHeard(change));
    }
}

fn row_change(object: ObjectRecord) -> Option<RowChange> {
    let key = object.key.as_str();
    let (key, content) = if let Some(name) = key.strip_prefix(ROUTE_PREFIX) {
        let row = object.value.map(serde_json::from_value).transpose();
        (RowKey::Route(RouteName::new(name)), row.map(|row| row.map(RowContent::Route)))
    } else {
        let name = key.strip_prefix(POOL_PREFIX)?;
        let row = object.value.map(serde_json::from_value).transpose();
        (RowKey::Pool(PoolName::new(name)), row.map(|row| row.map(RowContent::Pool)))
    };
    match content {
        Ok(content) => {
            let content = content.unwrap_or(RowContent::Tombstone);
            Some(RowChange { key, version: object.version, content })
        }
        Err(error) => {
            log::error!("row {} is invalid and not adopted: {error}", object.key);
            None
        }
    }
}

fn host_entry(row: HostRow) -> HostEntry {
    HostEntry {
        name: row.name,
        role: if &*row.role == "entry" { HostRole::Entry } else { HostRole::Target },
        group: row.group,
        address: row.address,
        peer: row.peer,
        failure_domain: row.failure_domain,
        state: if &*row.state == "live" { HostState::Live } else { HostState::Leaving },
    }
}
