//! Reads the host list and the tables from the platform while this router is one of those that
//! watch it on behalf of their peers.

use std::time::Duration;

use base_types::RowVersion;
use core_peers::{PeerEvent, TableListing};
use core_router::{Event, HostEntry, HostRole, HostState};
use error_stack::Report;
use io_platform::{HostRow, ObjectRecord, PlatformClient, PlatformError};
use state_tables::{RowChange, RowContent, RowKey, TableKind, TableRevision};
use tokio::sync::watch;

use crate::{handle::LoopHandle, peers::PeerHandle};

const HOST_POLL_INTERVAL: Duration = Duration::from_millis(500);
const WATCH_RETRY_BACKOFF: Duration = Duration::from_millis(500);
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads hosts and tables while this router watches the platform; all other routers receive them
/// from their peers.
pub(crate) async fn watch_platform(
    platform: PlatformClient,
    handle: LoopHandle,
    peers: PeerHandle,
) {
    let mut watching = peers.watching();
    tokio::task::spawn_local(poll_hosts(platform.clone(), peers.clone()));
    while watching.wait_for(|is_watching| *is_watching).await.is_ok() {
        tokio::select! {
            () = watch_tables(&platform, &handle, &peers) => {}
            stopped = watching.wait_for(|is_watching| !*is_watching) => {
                if stopped.is_err() {
                    return;
                }
            }
        }
    }
}

/// Watches each table separately, so that writes of other objects do not wake its watchers.
async fn watch_tables(platform: &PlatformClient, handle: &LoopHandle, peers: &PeerHandle) {
    loop {
        let revision = read_tables(platform, handle, peers).await;
        let report = tokio::select! {
            report = watch_table(platform, peers, TableKind::Pools, revision) => report,
            report = watch_table(platform, peers, TableKind::Routes, revision) => report,
        };
        back_off(&report).await;
    }
}

/// Posts a table's changes to the peer loop until a watch fails.
async fn watch_table(
    platform: &PlatformClient,
    peers: &PeerHandle,
    table: TableKind,
    mut revision: RowVersion,
) -> Report<PlatformError> {
    loop {
        let answer = match platform.watch(table.prefix(), revision, WATCH_TIMEOUT).await {
            Ok(answer) => answer,
            Err(report) => return report,
        };
        revision = answer.revision;
        peers.post(PeerEvent::PlatformAnswered);
        for change in answer.events.into_iter().filter_map(row_change) {
            peers.post(PeerEvent::RowRead(change));
        }
    }
}

async fn poll_hosts(platform: PlatformClient, peers: PeerHandle) {
    let mut watching: watch::Receiver<bool> = peers.watching();
    while watching.wait_for(|is_watching| *is_watching).await.is_ok() {
        match platform.hosts().await {
            Ok(list) => {
                let hosts = list.hosts.into_iter().map(host_entry).collect();
                peers.post(PeerEvent::HostsPolled(hosts));
            }
            Err(report) => log::warn!("cannot read the host list: {report:?}"),
        }
        tokio::time::sleep(HOST_POLL_INTERVAL).await;
    }
}

/// Reads all rows, retrying until the platform answers.
async fn read_tables(
    platform: &PlatformClient,
    handle: &LoopHandle,
    peers: &PeerHandle,
) -> RowVersion {
    loop {
        match read_tables_once(platform, handle, peers).await {
            Ok(revision) => return revision,
            Err(report) => back_off(&report).await,
        }
    }
}

async fn read_tables_once(
    platform: &PlatformClient,
    handle: &LoopHandle,
    peers: &PeerHandle,
) -> Result<RowVersion, Report<PlatformError>> {
    let mut revisions = Vec::new();
    let mut rows = Vec::new();
    for table in TableKind::ALL {
        let listed = platform.list(table.prefix()).await?;
        rows.extend(listed.objects.into_iter().filter_map(row_change));
        revisions.push(TableRevision { table, revision: listed.revision });
    }
    let revision = revisions.iter().map(|table| table.revision).min().unwrap_or(RowVersion(0));
    handle.post(Event::TablesListed(revisions.clone(), rows.clone()));
    peers.post(PeerEvent::TablesListed(TableListing { reads: revisions, rows }));
    Ok(revision)
}

async fn back_off(report: &Report<PlatformError>) {
    log::warn!("cannot read or watch the tables: {report:?}");
    tokio::time::sleep(WATCH_RETRY_BACKOFF).await;
}

fn row_change(object: ObjectRecord) -> Option<RowChange> {
    let key = RowKey::from_object_key(object.key.as_str())?;
    let change = RowChange::from_object(key, object.version, object.value);
    if let RowContent::Invalid(faults) = &change.content {
        log::error!("{} at version {} is invalid: {faults:?}", change.key, change.version.0);
    }
    Some(change)
}

fn host_entry(row: HostRow) -> HostEntry {
    HostEntry {
        name: row.name,
        role: if &*row.role == "entry" { HostRole::Router } else { HostRole::Target },
        group: row.group,
        address: row.address,
        peer: row.peer,
        failure_domain: row.failure_domain,
        state: if &*row.state == "live" { HostState::Live } else { HostState::Leaving },
    }
}
