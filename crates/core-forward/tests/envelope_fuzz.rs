//! Any bytes as messages of other routers.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/samples.rs"]
mod samples;

use base_types::TimePoint;
use core_forward::{
    ColdNotice, DecodedHeartbeat, EvacuationNotice, ExtensionState, FleetKey, FragileNotice,
    HeartbeatExtension, PeerHeartbeat, PeerKeys, PeerSnapshot, RouterCapacity, SnapshotExtension,
    SpeedNotice, WaitingNotice, decode_heartbeat, decode_snapshot, encode_heartbeat,
    encode_snapshot,
};
use proptest::{prelude::*, sample::Index};
use state_config::RetryRule;

use fixture::new_router;
use samples::{full_heartbeat, full_snapshot};

const NOW: TimePoint = TimePoint(1_000_000);

fn evacuations() -> Option<EvacuationNotice> {
    Some(EvacuationNotice { revision: 3, domains: vec!["z".into(), "y".into()] })
}

fn heartbeat() -> PeerHeartbeat {
    let speed =
        |target_hash| SpeedNotice { target_hash, slowdown_percent: 4, limit: 5, samples: 6 };
    let extension = HeartbeatExtension {
        cold_targets: vec![ColdNotice { target_hash: 1, left_ms: 2 }; 20],
        evacuations: evacuations(),
        speeds: (0..20).map(speed).collect(),
        capacity: Some(RouterCapacity { weight: 4, load_percent: 5 }),
        waiting: vec![WaitingNotice { pool_hash: 7, calls: 8 }; 20],
        fragile_pools: vec![FragileNotice { pool_hash: 7, bearable: 8, age_ms: 9 }; 20],
        record_refused: true,
        config_version: Some(u64::MAX),
    };
    PeerHeartbeat { extension, ..full_heartbeat() }
}

fn snapshot() -> PeerSnapshot {
    let HeartbeatExtension { cold_targets, speeds, fragile_pools, .. } = heartbeat().extension;
    let extension = SnapshotExtension {
        cold_targets,
        speeds,
        cold_rates: vec![(1, 14_000); 20],
        evacuations: evacuations(),
        fragile_pools,
    };
    PeerSnapshot { extension, ..full_snapshot() }
}

fn keys() -> PeerKeys {
    PeerKeys { current: Some(FleetKey::from_secret(b"a")), previous: None, required: true }
}

/// Checks that a decoded heartbeat takes no more memory than its bytes can fill, and that it has no records
/// unless all were read.
fn check_bounds(decoded: &DecodedHeartbeat, bytes: usize) {
    let PeerHeartbeat { load_share, content, extension, .. } = &decoded.message;
    let HeartbeatExtension { cold_targets, evacuations, speeds, waiting, fragile_pools, .. } =
        extension;
    let domains = evacuations.as_ref().map_or(0, |notice| notice.domains.len());
    let lists = [
        (load_share.loads.len(), bytes),
        (decoded.message.segment_holders.len(), bytes),
        (content.crashes.len(), bytes),
        (decoded.message.stream_origins.len(), bytes),
        (cold_targets.len(), 128),
        (speeds.len(), 64),
        (waiting.len(), 64),
        (fragile_pools.len(), 64),
        (domains, 64),
        (decoded.unknown_records, 64),
    ];
    assert!(lists.iter().all(|(length, length_max)| length <= length_max), "{lists:?}");
    let is_empty = *extension == HeartbeatExtension::default();
    assert!(is_empty || decoded.extension == ExtensionState::Read);
}

/// Has a router handle what is read of some bytes, which must not make it panic.
fn receive(bytes: &[u8]) {
    assert!(decode_heartbeat(bytes, &keys()).is_err(), "accepted without a MAC");
    let Ok(decoded) = decode_heartbeat(bytes, &PeerKeys::default()) else { return };
    check_bounds(&decoded, bytes.len());
    let mut router = new_router(NOW, 0, 1, RetryRule::ResumableStream);
    for _ in 0..2 {
        router.on_decoded_heartbeat(NOW, decoded.clone());
        router.next_heartbeat(NOW);
        router.sweep(NOW);
        router.status(NOW);
    }
}

/// Replaces the bytes at some positions.
fn change(bytes: &mut [u8], changes: &[(Index, u8)]) {
    for (index, byte) in changes {
        let index = index.index(bytes.len());
        bytes[index] = *byte;
    }
}

fn changes() -> impl Strategy<Value = Vec<(Index, u8)>> {
    prop::collection::vec((any::<Index>(), any::<u8>()), 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_048))]

    /// Guards against a panic, or unbounded memory, because of a datagram of a stranger.
    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..2_048)) {
        receive(&bytes);
        assert!(decode_snapshot(&bytes, &keys()).is_err());
        let _ = decode_snapshot(&bytes, &PeerKeys::default());
    }

    /// Guards against the same because of any bytes as records.
    #[test]
    fn any_records_are_survived(
        records in prop::collection::vec((0u8..10, prop::collection::vec(0u8..4, 0..48)), 0..8),
        tail in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut bytes = encode_heartbeat(&full_heartbeat(), None).expect("encoded").bytes;
        for (tag, payload) in &records {
            bytes.extend([*tag, payload.len() as u8]);
            bytes.extend(payload);
        }
        receive(&bytes);
        bytes.extend(tail);
        receive(&bytes);
        // The frozen layout is read whatever follows.
        let decoded = decode_heartbeat(&bytes, &PeerKeys::default()).expect("decoded");
        let message = PeerHeartbeat { extension: HeartbeatExtension::default(), ..decoded.message };
        assert_eq!(message, full_heartbeat());
    }

    /// Guards against the same because of changed bytes, and against a value of a message whose MAC is wrong.
    #[test]
    fn changed_bytes_are_survived(changes in changes()) {
        for key in [None, keys().current] {
            let sent = encode_heartbeat(&heartbeat(), key.as_ref()).expect("encoded").bytes;
            let mut bytes = sent.clone();
            change(&mut bytes, &changes);
            if bytes != sent {
                receive(&bytes);
            }
            let sent = encode_snapshot(&snapshot(), key.as_ref()).expect("encoded").bytes;
            let mut bytes = sent.clone();
            change(&mut bytes, &changes);
            assert!(bytes == sent || decode_snapshot(&bytes, &keys()).is_err());
            if let Ok(decoded) = decode_snapshot(&bytes, &PeerKeys::default()) {
                new_router(NOW, 0, 1, RetryRule::ResumableStream).restore(NOW, decoded.message);
            }
        }
    }

    /// Guards against values of a record that was cut off: whatever is read was sent.
    #[test]
    fn a_heartbeat_cut_anywhere_has_no_other_values(at in any::<Index>()) {
        let sent = heartbeat();
        let bytes = encode_heartbeat(&sent, None).expect("encoded").bytes;
        let base = postcard::to_stdvec(&sent).expect("encoded").len();
        let cut = at.index(bytes.len());
        let decoded = decode_heartbeat(&bytes[..cut], &PeerKeys::default());
        assert_eq!(decoded.is_ok(), base <= cut);
        let Ok(decoded) = decoded else { return Ok(()) };
        let (read, sent) = (&decoded.message.extension, &sent.extension);
        assert!(read.cold_targets.is_empty() || read.cold_targets == sent.cold_targets);
        assert!(read.speeds.is_empty() || read.speeds == sent.speeds);
        assert!(read.waiting.is_empty() || read.waiting == sent.waiting);
        assert!(read.evacuations.is_none() || read.evacuations == sent.evacuations);
        assert!(read.capacity.is_none() || read.capacity == sent.capacity);
        check_bounds(&decoded, cut);
    }
}
