//! Deletes the records of operations that are older than the retention.

use std::time::Duration;

use io_platform::{ObjectRecord, PlatformClient};
use rand::Rng;
use state_ledger::{WallTime, operation_partition_prefix};

use crate::{
    handle::LoopHandle,
    ledger::{parse_record, wall_time},
};

/// Lifetime of an operation's record. A retry after its record was deleted runs as a new operation.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Mean interval between two sweeps, each of one partition of the operations, over all routers.
const RETENTION_SWEEP_INTERVAL: Duration = Duration::from_millis(5_000);
const DELETES_PER_SWEEP_MAX: usize = 100;

/// Sweeps randomly chosen partitions of the operations until the process exits.
///
/// Each router sweeps less often the more routers there are. Two routers may sweep the same
/// partition at once, because each delete is conditional on the object's version.
pub(crate) async fn sweep_operations(platform: PlatformClient, handle: LoopHandle) {
    loop {
        tokio::time::sleep(handle.random_fleet_interval(RETENTION_SWEEP_INTERVAL).await).await;
        let partition = rand::rng().random();
        sweep_partition(&platform, partition).await;
    }
}

async fn sweep_partition(platform: &PlatformClient, partition: u8) {
    let now = wall_time();
    let cutoff = WallTime(now.0.saturating_sub(RETENTION.as_millis() as u64));
    let Ok(list) = platform.list(&operation_partition_prefix(partition)).await else { return };
    let expired = |object: &&ObjectRecord| {
        parse_record(object).is_some_and(|record| record.is_expired(cutoff))
    };
    for object in list.objects.iter().filter(expired).take(DELETES_PER_SWEEP_MAX) {
        if platform.delete(&object.key, object.version).await.is_err() {
            return;
        }
    }
}
