//! Forgetting operations that are older than the retention.

use std::time::Duration;

use io_platform::{ObjectRecord, PlatformClient};
use rand::Rng;
use state_ledger::{WallTime, operation_part};

use crate::{
    handle::LoopHandle,
    ledger::{parse_record, wall_time},
};

/// A repeat of an operation that was forgotten runs as a new one.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Mean time between two sweeps of one part by any router of the fleet.
const FLEET_SWEEP: Duration = Duration::from_millis(5_000);
const DELETES_MAX: usize = 100;

/// Sweeps one part of the operations after the other for as long as the process runs.
///
/// Each router sweeps the more rarely the more routers there are. Two that sweep the same part do
/// no harm, as a delete names the version that it deletes.
pub(crate) async fn sweep_operations(platform: PlatformClient, handle: LoopHandle) {
    loop {
        tokio::time::sleep(handle.fleet_pause(FLEET_SWEEP).await).await;
        let part = rand::rng().random();
        sweep_part(&platform, part).await;
    }
}

async fn sweep_part(platform: &PlatformClient, part: u8) {
    let now = wall_time();
    let oldest = WallTime(now.0.saturating_sub(RETENTION.as_millis() as u64));
    let Ok(list) = platform.list(&operation_part(part)).await else { return };
    let expired =
        |object: &&ObjectRecord| parse_record(object).is_some_and(|record| record.expired(oldest));
    for object in list.objects.iter().filter(expired).take(DELETES_MAX) {
        if platform.delete(&object.key, object.version).await.is_err() {
            return;
        }
    }
}
