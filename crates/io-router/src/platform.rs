//! Reading the host list and the tables from the platform, for as long as it is this router's
//! turn to watch.

use std::time::Duration;

use base_types::RowVersion;
use core_peers::{PeerEvent, TableListing};
use core_router::{Event, HostEntry, HostRole, HostState};
use error_stack::Report;
use io_platform::{HostRow, ObjectRecord, PlatformClient, PlatformError};
use state_tables::{RowChange, RowContent, RowKey, TableKind, TableRevision};
use tokio::sync::watch;

use crate::{handle::LoopHandle, peers::PeerHandle};

const HOSTS_EVERY: Duration = Duration::from_millis(500);
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Reads hosts and tables whenever this router watches; others hear of them from their peers.
pub(crate) async fn watch_platform(
    platform: PlatformClient,
    handle: LoopHandle,
    peers: PeerHandle,
) {
    let mut watching = peers.watching();
    tokio::task::spawn_local(poll_hosts(platform.clone(), peers.clone()));
    while watching.wait_for(|watches| *watches).await.is_ok() {
        tokio::select! {
            () = watch_tables(&platform, &handle, &peers) => {}
            stopped = watching.wait_for(|watches| !*watches) => {
                if stopped.is_err() {
                    return;
                }
            }
        }
    }
}

/// Watches each table by itself, so that writes of other objects wake nobody.
async fn watch_tables(platform: &PlatformClient, handle: &LoopHandle, peers: &PeerHandle) {
    loop {
        let revision = read_tables(platform, handle, peers).await;
        let report = tokio::select! {
            report = watch_table(platform, peers, TableKind::Pools, revision) => report,
            report = watch_table(platform, peers, TableKind::Routes, revision) => report,
        };
        wait_after(&report).await;
    }
}

/// Hears of a table's changes until a watch fails.
async fn watch_table(
    platform: &PlatformClient,
    peers: &PeerHandle,
    table: TableKind,
    mut revision: RowVersion,
) -> Report<PlatformError> {
    loop {
        let answer = match platform.watch(table.prefix(), revision, WATCH_WAIT).await {
            Ok(answer) => answer,
            Err(report) => return report,
        };
        revision = answer.revision;
        peers.post(PeerEvent::PlatformHeard);
        for change in answer.events.into_iter().filter_map(row_change) {
            peers.post(PeerEvent::RowRead(change));
        }
    }
}

async fn poll_hosts(platform: PlatformClient, peers: PeerHandle) {
    let mut watching: watch::Receiver<bool> = peers.watching();
    while watching.wait_for(|watches| *watches).await.is_ok() {
        match platform.hosts().await {
            Ok(list) => {
                let hosts = list.hosts.into_iter().map(host_entry).collect();
                peers.post(PeerEvent::HostsPolled(hosts));
            }
            Err(report) => log::warn!("host list not read: {report:?}"),
        }
        tokio::time::sleep(HOSTS_EVERY).await;
    }
}

/// Reads all rows, trying again until the platform answers.
async fn read_tables(
    platform: &PlatformClient,
    handle: &LoopHandle,
    peers: &PeerHandle,
) -> RowVersion {
    loop {
        match read_tables_once(platform, handle, peers).await {
            Ok(revision) => return revision,
            Err(report) => wait_after(&report).await,
        }
    }
}

async fn read_tables_once(
    platform: &PlatformClient,
    handle: &LoopHandle,
    peers: &PeerHandle,
) -> Result<RowVersion, Report<PlatformError>> {
    let mut reads = Vec::new();
    let mut rows = Vec::new();
    for table in TableKind::ALL {
        let listed = platform.list(table.prefix()).await?;
        rows.extend(listed.objects.into_iter().filter_map(row_change));
        reads.push(TableRevision { table, revision: listed.revision });
    }
    let revision = reads.iter().map(|read| read.revision).min().unwrap_or(RowVersion(0));
    handle.post(Event::TablesListed(reads.clone(), rows.clone()));
    peers.post(PeerEvent::TablesListed(TableListing { reads, rows }));
    Ok(revision)
}

async fn wait_after(report: &Report<PlatformError>) {
    log::warn!("tables not read: {report:?}");
    tokio::time::sleep(RETRY_AFTER_FAILURE).await;
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
