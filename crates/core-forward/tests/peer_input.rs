//! Heartbeats with any content: a router survives what decodes, and still serves.

#[path = "support/fixture.rs"]
mod fixture;

use std::time::Duration;

use base_types::{ContentDigest, TargetLoad, TimePoint};
use core_forward::{
    BlockNotice, DispatchStep, ForwardCore, OriginNotice, PeerHeartbeat, SoftwareKey, TargetNotice,
};
use proptest::prelude::*;
use state_config::RetryRule;

use fixture::{call_head, new_router, target_entry};

const TARGETS: usize = 4;

fn new_listed_router(index: u16) -> ForwardCore {
    let mut core = new_router(TimePoint(1_000_000), index, 1, RetryRule::ResumableStream);
    let entries = (0..TARGETS).map(|target| target_entry(target, 1)).collect();
    core.list_targets(TimePoint(1_000_000), entries);
    core
}

/// A heartbeat with something in each list.
fn full_heartbeat() -> PeerHeartbeat {
    let now = TimePoint(1_000_000);
    let mut peer = new_listed_router(1);
    let call = peer.admit(now, call_head(now, 1, None), ContentDigest(1)).expect("admitted").call;
    assert!(matches!(peer.dispatch(now, call), DispatchStep::Send(_)));
    peer.on_first_event(now, call);
    let mut heartbeat = peer.next_heartbeat(now);
    let target_hash = heartbeat.load_share.loads[0].target_hash;
    heartbeat.load_share.loads.push(TargetLoad { target_hash: 7, in_flight: u32::MAX });
    heartbeat.load_share.loads.push(TargetLoad { target_hash, in_flight: u32::MAX });
    heartbeat.segment_holders = vec![(1, target_hash), (2, 3)];
    heartbeat.leaving_targets = vec![9];
    heartbeat.content.blocks = vec![BlockNotice {
        key: base_types::ContentKey(5),
        trial_in_ms: u32::MAX,
        trials: u8::MAX,
    }];
    heartbeat.stream_origins.push(OriginNotice {
        call_hash: 1,
        software: SoftwareKey(2),
        left_ms: u32::MAX,
        replaces: true,
    });
    let entry = target_entry(TARGETS, 1);
    let name = entry.name.clone();
    heartbeat.target_changes = vec![TargetNotice { name, revision: u64::MAX, entry: Some(entry) }];
    heartbeat
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Bytes of a heartbeat are changed; whatever still decodes is handled, twice.
    #[test]
    fn a_router_survives_any_heartbeat(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..24),
        now_s in 1u64..100_000,
    ) {
        let mut bytes = postcard::to_stdvec(&full_heartbeat()).expect("encoded");
        for (index, byte) in &changes {
            let index = index.index(bytes.len());
            bytes[index] = *byte;
        }
        let Ok(heartbeat) = postcard::from_bytes::<PeerHeartbeat>(&bytes) else { return Ok(()) };
        let mut core = new_listed_router(0);
        let now = TimePoint(now_s * 1_000_000);
        for round in 0..3u32 {
            let at = now.after(Duration::from_millis(400) * round);
            core.on_heartbeat(at, heartbeat.clone());
            core.next_heartbeat(at);
            core.next_record_write(at);
            core.sweep(at);
            core.status(at);
            core.snapshot(at);
        }
        let call = core.admit(now, call_head(now, 2, None), ContentDigest(2)).expect("admitted").call;
        core.dispatch(now, call);
        core.finish(call);
    }
}
