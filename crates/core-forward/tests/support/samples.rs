//! Heartbeats and snapshots with known values in each field of the frozen layout. Their bytes as build
//! e402b25 encodes them are in `tests/fixtures/`.

#![allow(dead_code, reason = "each test uses a part")]

use std::time::Duration;

use base_types::{
    AccountName, ContentKey, HostName, LoadShare, PoolName, RouteName, TargetLoad, TimePoint,
};
use core_forward::{
    BlockNotice, CallRate, ContentReport, CrashNotice, HeartbeatExtension, LimitNotice,
    OriginNotice, PeerHeartbeat, PeerSnapshot, SegmentHolders, SoftwareKey, SoftwareNotice,
    SuspectNotice, TargetNotice, TargetOutcomes,
};
use policy_targets::OutcomeCount;
use state_config::{
    AccountRule, CallerLimits, ConfigVersion, FleetConfig, KeyDigest, RetryRule, RouteRule,
    WeightedPool,
};

use crate::fixture::{new_router, target_entry};

const NOW: TimePoint = TimePoint(1_000_000);

fn content() -> ContentReport {
    let suspect = SuspectNotice { key: ContentKey(11), sent_age_ms: 12 };
    ContentReport {
        crashes: vec![CrashNotice { target_hash: 13, age_ms: 14, content: vec![suspect] }],
        sound: vec![ContentKey(15)],
        blocks: vec![BlockNotice { key: ContentKey(16), trial_in_ms: 17, trials: 18 }],
        held: vec![ContentKey(19)],
        responding: vec![u64::MAX],
    }
}

fn origins() -> Vec<OriginNotice> {
    let notice = |call_hash, replaces| OriginNotice {
        call_hash,
        software: SoftwareKey(22),
        left_ms: 23,
        replaces,
    };
    vec![notice(20, false), notice(21, true)]
}

fn software() -> Vec<SoftwareNotice> {
    vec![SoftwareNotice { pool: PoolName::new("pool"), software: SoftwareKey(24), left_ms: 25 }]
}

/// A heartbeat with something in each list of the frozen layout, without records.
pub(crate) fn full_heartbeat() -> PeerHeartbeat {
    let mut router = new_router(NOW, 1, 300, RetryRule::ResumableStream);
    let limit =
        |rate, calls| LimitNotice { target_hash: 31, rate, age_ms: 32, calls, new_calls: 33 };
    let change = |index, entry| TargetNotice {
        name: HostName::new(&format!("t{index}")),
        revision: 34,
        entry,
    };
    PeerHeartbeat {
        shutting_down: true,
        ready: false,
        load_share: LoadShare {
            router: HostName::new("router-1"),
            sequence: 35,
            loads: vec![TargetLoad { target_hash: 36, in_flight: 37 }],
        },
        segment_holders: vec![(38, 39), (u64::MAX, 0)],
        outcomes: vec![TargetOutcomes {
            target_hash: 40,
            counts: OutcomeCount { failed: 41, finished: 42 },
        }],
        content: content(),
        limits: vec![limit(CallRate::from_per_second(14.0), 43), limit(None, u32::MAX)],
        leaving_targets: vec![44, 45],
        stream_origins: origins(),
        target_changes: vec![change(1, Some(target_entry(1, 46))), change(2, None)],
        software: software(),
        unreachable_pools: vec![47],
        cut_off: true,
        extension: HeartbeatExtension::default(),
        ..router.next_heartbeat(NOW)
    }
}

/// The first heartbeat of a router without targets, without records.
pub(crate) fn empty_heartbeat() -> PeerHeartbeat {
    let mut router = new_router(NOW, 2, 301, RetryRule::ResumableStream);
    PeerHeartbeat { extension: HeartbeatExtension::default(), ..router.next_heartbeat(NOW) }
}

/// A snapshot with something in each list.
pub(crate) fn full_snapshot() -> PeerSnapshot {
    let snapshot = empty_snapshot();
    let pools = snapshot.config.iter().flat_map(|config| config.pools.values().cloned()).collect();
    let route = |index, retry_rule, weight| RouteRule {
        name: RouteName::new(&format!("route-{index}")),
        host: "host".into(),
        path_prefix: format!("/{index}/").into(),
        retry_rule,
        timeout: Duration::from_millis(51),
        latency_target: Duration::from_millis(52),
        rank: 53,
        pools: vec![WeightedPool { pool: PoolName::new("pool"), weight }],
        attempts_max: 54,
        public: index == 1,
    };
    let routes = vec![route(1, RetryRule::Idempotent, 55), route(2, RetryRule::AtMostOnce, 56)];
    let account = AccountRule {
        name: AccountName::new("account"),
        keys: vec![KeyDigest::of(b"key")],
        rank: Some(57),
    };
    let limits = CallerLimits {
        head_bytes_max: 58,
        body_bytes_max: 59,
        head_timeout: Duration::from_millis(60),
        idle_timeout: Duration::from_millis(61),
    };
    let config = FleetConfig::new(ConfigVersion(62), pools, routes, Some(vec![account]), limits);
    PeerSnapshot {
        settled: true,
        config: Some(config),
        targets: vec![target_entry(3, 63), target_entry(4, 64)],
        leaving_targets: vec![65],
        stream_origins: origins(),
        content: content(),
        software: software(),
        software_complete: true,
        segment_holders: vec![
            SegmentHolders { segment: 66, target_hashes: vec![67, 68] },
            SegmentHolders { segment: 69, target_hashes: Vec::new() },
        ],
        ..snapshot
    }
}

/// The snapshot of a router that has just started.
pub(crate) fn empty_snapshot() -> PeerSnapshot {
    new_router(NOW, 2, 301, RetryRule::ResumableStream).snapshot(NOW)
}
