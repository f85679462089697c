//! Sizes of heartbeats and snapshots in fleets of two sizes, as docs/design/envelope.md states them.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/samples.rs"]
mod samples;

use base_types::{TargetLoad, TimePoint, test_cases};
use core_forward::{
    ColdNotice, EvacuationNotice, FleetKey, FragileNotice, HeartbeatExtension, OriginNotice,
    PeerHeartbeat, PeerSnapshot, RouterCapacity, SegmentHolders, SnapshotExtension, SoftwareKey,
    SpeedNotice, TargetOutcomes, WaitingNotice, encode_heartbeat, encode_snapshot,
};
use policy_targets::OutcomeCount;
use state_config::RetryRule;

use fixture::{new_router, target_entry};

const NOW: TimePoint = TimePoint(1_000_000);

/// Hashes as long as most are.
fn hash(index: usize) -> u64 {
    u64::MAX / 2 + index as u64
}

fn evacuations() -> Option<EvacuationNotice> {
    Some(EvacuationNotice { revision: 100_000, domains: vec!["ne-hartford".into()] })
}

fn cold_targets(count: usize) -> Vec<ColdNotice> {
    (0..count).map(|index| ColdNotice { target_hash: hash(index), left_ms: 3_000 }).collect()
}

fn speeds(count: usize) -> Vec<SpeedNotice> {
    let notice = |index| SpeedNotice {
        target_hash: hash(index),
        slowdown_percent: 250,
        limit: 64,
        samples: 40,
    };
    (0..count).map(notice).collect()
}

fn origins(count: usize) -> Vec<OriginNotice> {
    let notice = |index| OriginNotice {
        call_hash: hash(index),
        software: SoftwareKey(hash(index)),
        left_ms: 60_000,
        replaces: false,
    };
    (0..count).map(notice).collect()
}

/// A heartbeat of a router with calls at each target, a third of them cold after an evacuation.
fn heartbeat(targets: usize) -> PeerHeartbeat {
    let outcomes = (0..16).map(|index| TargetOutcomes {
        target_hash: hash(index),
        counts: OutcomeCount { failed: 0, finished: 6 },
    });
    let mut heartbeat = new_router(NOW, 1, hash(1), RetryRule::ResumableStream).next_heartbeat(NOW);
    heartbeat.load_share.sequence = 100_000;
    heartbeat.load_share.loads =
        (0..targets).map(|index| TargetLoad { target_hash: hash(index), in_flight: 8 }).collect();
    PeerHeartbeat {
        segment_holders: (0..20).map(|index| (hash(index), hash(index))).collect(),
        outcomes: outcomes.collect(),
        stream_origins: origins(16),
        extension: HeartbeatExtension {
            cold_targets: cold_targets(targets / 3),
            evacuations: evacuations(),
            speeds: speeds(16),
            capacity: Some(RouterCapacity { weight: 120, load_percent: 80 }),
            waiting: vec![WaitingNotice { pool_hash: hash(0), calls: 20 }],
            fragile_pools: fragile_pools(),
            record_refused: false,
            config_version: Some(u64::MAX),
        },
        ..heartbeat
    }
}

fn fragile_pools() -> Vec<FragileNotice> {
    vec![FragileNotice { pool_hash: hash(0), bearable: 8, age_ms: 400 }]
}

/// A snapshot of a router that knows 2,048 segments and 4,096 streams.
fn snapshot(targets: usize) -> PeerSnapshot {
    let router = new_router(NOW, 1, 1, RetryRule::ResumableStream);
    let holders = (0..2_048).map(|index| SegmentHolders {
        segment: hash(index),
        target_hashes: vec![hash(1), hash(2), hash(3)],
    });
    PeerSnapshot {
        targets: (0..targets).map(|index| target_entry(index, hash(index))).collect(),
        stream_origins: origins(4_096),
        segment_holders: holders.collect(),
        extension: SnapshotExtension {
            cold_targets: cold_targets(targets / 3),
            cold_rates: vec![(hash(0), 14_000)],
            evacuations: evacuations(),
            speeds: speeds(targets),
            fragile_pools: fragile_pools(),
        },
        ..router.snapshot(NOW)
    }
}

/// Checks the bytes of the frozen layout, with all records, and with a MAC; of a heartbeat, then of a snapshot.
/// Guards against growth of the traffic between routers that nobody states.
fn check_sizes(targets: usize, heartbeat_bytes: [usize; 3], snapshot_bytes: [usize; 3]) {
    let key = FleetKey::from_secret(b"secret");
    let (heartbeat, snapshot) = (heartbeat(targets), snapshot(targets));
    let measured = [
        postcard::to_stdvec(&heartbeat).expect("encoded").len(),
        encode_heartbeat(&heartbeat, None).expect("encoded").bytes.len(),
        encode_heartbeat(&heartbeat, Some(&key)).expect("encoded").bytes.len(),
    ];
    assert_eq!(measured, heartbeat_bytes);
    let measured = [
        postcard::to_stdvec(&snapshot).expect("encoded").len(),
        encode_snapshot(&snapshot, None).expect("encoded").bytes.len(),
        encode_snapshot(&snapshot, Some(&key)).expect("encoded").bytes.len(),
    ];
    assert_eq!(measured, snapshot_bytes);
}

test_cases! {
    check_sizes:
    // 66 routers, 60 engines and 3 plain targets.
    a_fleet_of_66_routers(63, [1_732, 2_281, 2_315], [184_411, 185_603, 185_637]);
    // 195 routers, 117 engines and 6 plain targets.
    a_fleet_of_195_routers(123, [2_392, 3_181, 3_215], [186_414, 188_686, 188_720]);
}
