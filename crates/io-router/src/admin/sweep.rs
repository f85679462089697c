//! Ending edits that were begun by routers which have since been lost.

use std::time::Duration;

use io_platform::PlatformClient;
use state_tables::{GUARD_OBJECT, GuardRecord, ObjectPort, finish_pending};

use crate::{admin::port::PlatformPort, handle::LoopHandle};

/// Mean time between two looks at the guard by any router of the fleet.
const FLEET_SWEEP: Duration = Duration::from_millis(2_000);

/// Looks for abandoned edits for as long as the process runs.
///
/// Each router looks the more rarely the more routers there are, so that the platform's load does
/// not grow with the fleet. An edit seen twice in a row has been abandoned, or its router is slow;
/// ending it twice does no harm.
pub(crate) async fn sweep_edits(platform: PlatformClient, handle: LoopHandle) {
    let port = PlatformPort(&platform);
    let mut seen = None;
    loop {
        tokio::time::sleep(handle.fleet_pause(FLEET_SWEEP).await).await;
        let pending = pending_edit(&port).await;
        if pending.is_some()
            && pending == seen
            && let Ok(Some(entry)) = finish_pending(&port).await
        {
            log::info!("ended the abandoned edit {} of {}", entry.edit, entry.row);
        }
        seen = pending;
    }
}

async fn pending_edit(port: &PlatformPort<'_>) -> Option<state_tables::EditKey> {
    let object = port.read(GUARD_OBJECT).await.ok()??;
    let guard: GuardRecord = serde_json::from_value(object.value).ok()?;
    guard.pending.map(|pending| pending.edit)
}
