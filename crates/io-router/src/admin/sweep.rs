//! Finishes pending edits whose router has failed.

use std::time::Duration;

use io_platform::PlatformClient;
use state_tables::{GUARD_OBJECT, GuardRecord, ObjectPort, finish_pending};

use crate::{admin::port::PlatformPort, handle::LoopHandle};

/// Mean interval between two reads of the guard object by any router of the fleet.
const EDIT_SWEEP_INTERVAL: Duration = Duration::from_millis(2_000);

/// Polls for abandoned edits until the process exits.
///
/// Each router polls less often the more routers there are, so that the platform's load does not
/// grow with the fleet. An edit that is pending in two polls in a row has been abandoned, or its
/// router is slow; the latter is harmless, because finishing an edit twice has no further effect.
pub(crate) async fn sweep_edits(platform: PlatformClient, handle: LoopHandle) {
    let port = PlatformPort(&platform);
    let mut previous = None;
    loop {
        tokio::time::sleep(handle.random_fleet_interval(EDIT_SWEEP_INTERVAL).await).await;
        let pending = pending_edit(&port).await;
        if pending.is_some()
            && pending == previous
            && let Ok(Some(entry)) = finish_pending(&port).await
        {
            log::info!("finished the abandoned edit {} of {}", entry.edit, entry.row);
        }
        previous = pending;
    }
}

async fn pending_edit(port: &PlatformPort<'_>) -> Option<state_tables::EditKey> {
    let object = port.read(GUARD_OBJECT).await.ok()??;
    let guard: GuardRecord = serde_json::from_value(object.value).ok()?;
    guard.pending.map(|pending| pending.edit)
}
