//! Reading the host list and the tables from the platform.

use std::time::Duration;

use base_types::RowVersion;
use core_router::{Event, HostEntry, HostRole, HostState};
use error_stack::Report;
use io_platform::{HostRow, ObjectRecord, PlatformClient, PlatformError};
use state_tables::{RowChange, RowContent, RowKey, TableKind, TableRevision};

use crate::handle::LoopHandle;

const HOSTS_EVERY: Duration = Duration::from_millis(500);
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
const WATCH_WAIT: Duration = Duration::from_secs(10);

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
    let mut floors = Vec::new();
    let mut rows = Vec::new();
    for table in TableKind::ALL {
        let listed = platform.list(table.prefix()).await?;
        rows.extend(listed.objects.into_iter().filter_map(row_change));
        floors.push(TableRevision { table, revision: listed.revision });
    }
    let revision = floors.iter().map(|read| read.revision).min().unwrap_or(RowVersion(0));
    handle.post(Event::TablesListed(floors, rows));
    handle.post(Event::TablesComplete);
    Ok(revision)
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
    let key = RowKey::from_object(object.key.as_str())?;
    let change = RowChange::from_object(key, object.version, object.value);
    if let RowContent::Invalid(faults) = &change.content {
        log::error!("{} at version {} is invalid: {faults:?}", change.key, change.version.0);
    }
    Some(change)
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
