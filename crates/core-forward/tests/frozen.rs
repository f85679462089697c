//! Heartbeats and snapshots between this build and earlier ones.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/samples.rs"]
mod samples;

use std::fmt::Debug;

use base_types::test_cases;
use core_forward::{
    ColdNotice, DecodedMessage, EncodedMessage, EnvelopeError, EvacuationNotice, ExtensionState,
    FleetKey, HeartbeatExtension, PeerFormat, PeerHeartbeat, PeerKeys, PeerSnapshot,
    RouterCapacity, SnapshotExtension, decode_heartbeat, decode_snapshot, encode_heartbeat,
    encode_snapshot,
};
use proptest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};

use samples::{empty_heartbeat, empty_snapshot, full_heartbeat, full_snapshot};

type Encode<T> = fn(&T, Option<&FleetKey>) -> Result<EncodedMessage, EnvelopeError>;
type Decode<T> = fn(&[u8], &PeerKeys) -> Result<DecodedMessage<T>, EnvelopeError>;

/// Checks a message without records against its bytes as build e402b25 encodes it, and that build's
/// decoder against the bytes of the message `full`, which has records. Guards against a change of the
/// frozen layout, which would make routers deaf to each other while they are replaced.
fn check_frozen<T: PartialEq + Debug + Serialize + DeserializeOwned>(
    message: T,
    fixture: &[u8],
    full: T,
    (encode, decode): (Encode<T>, Decode<T>),
) {
    let base = postcard::to_stdvec(&message).expect("encoded");
    assert_eq!(base, fixture, "the frozen layout changed");
    let decoded = decode(fixture, &PeerKeys::default()).expect("decoded");
    assert_eq!(
        (decoded.extension, decoded.format),
        (ExtensionState::Absent, PeerFormat::default())
    );
    assert_eq!(decoded.message, message);
    for key in [None, Some(FleetKey::from_secret(b"secret"))] {
        let encoded = encode(&full, key.as_ref()).expect("encoded");
        assert!(encoded.bytes.starts_with(fixture) && fixture.len() < encoded.bytes.len());
        // The decoder of build e402b25.
        assert_eq!(postcard::from_bytes::<T>(&encoded.bytes), Ok(message_without_records(fixture)));
    }
}

fn message_without_records<T: DeserializeOwned>(fixture: &[u8]) -> T {
    postcard::from_bytes(fixture).expect("decoded")
}

fn with_heartbeat_records(heartbeat: PeerHeartbeat) -> PeerHeartbeat {
    let extension = HeartbeatExtension {
        cold_targets: vec![ColdNotice { target_hash: 1, left_ms: 2 }],
        evacuations: Some(EvacuationNotice { revision: 3, domains: vec!["z".into()] }),
        capacity: Some(RouterCapacity { weight: 4, load_percent: 5 }),
        ..HeartbeatExtension::default()
    };
    PeerHeartbeat { extension, ..heartbeat }
}

fn with_snapshot_records(snapshot: PeerSnapshot) -> PeerSnapshot {
    let extension =
        SnapshotExtension { cold_rates: vec![(1, 14_000)], ..SnapshotExtension::default() };
    PeerSnapshot { extension, ..snapshot }
}

const HEARTBEATS: (Encode<PeerHeartbeat>, Decode<PeerHeartbeat>) =
    (encode_heartbeat, decode_heartbeat);
const SNAPSHOTS: (Encode<PeerSnapshot>, Decode<PeerSnapshot>) = (encode_snapshot, decode_snapshot);

test_cases! {
    check_frozen:
    a_full_heartbeat_has_the_frozen_layout(
        full_heartbeat(), include_bytes!("fixtures/e402b25-heartbeat-full.bin"),
        with_heartbeat_records(full_heartbeat()), HEARTBEATS,
    );
    an_empty_heartbeat_has_the_frozen_layout(
        empty_heartbeat(), include_bytes!("fixtures/e402b25-heartbeat-empty.bin"),
        with_heartbeat_records(empty_heartbeat()), HEARTBEATS,
    );
    a_full_snapshot_has_the_frozen_layout(
        full_snapshot(), include_bytes!("fixtures/e402b25-snapshot-full.bin"),
        with_snapshot_records(full_snapshot()), SNAPSHOTS,
    );
    an_empty_snapshot_has_the_frozen_layout(
        empty_snapshot(), include_bytes!("fixtures/e402b25-snapshot-empty.bin"),
        with_snapshot_records(empty_snapshot()), SNAPSHOTS,
    );
}

/// Checks that a message of build 30b22d6 is dropped. Its layout lacks fields in the middle, so that a
/// message which decodes would be read as other values.
fn check_dropped<T: PartialEq + Debug>(bytes: &[u8], decode: Decode<T>) {
    assert_eq!(decode(bytes, &PeerKeys::default()), Err(EnvelopeError::Malformed));
}

test_cases! {
    check_dropped:
    a_full_heartbeat_of_30b22d6_is_dropped(
        include_bytes!("fixtures/30b22d6-heartbeat-full.bin"), decode_heartbeat,
    );
    an_empty_heartbeat_of_30b22d6_is_dropped(
        include_bytes!("fixtures/30b22d6-heartbeat-empty.bin"), decode_heartbeat,
    );
    a_full_snapshot_of_30b22d6_is_dropped(
        include_bytes!("fixtures/30b22d6-snapshot-full.bin"), decode_snapshot,
    );
    an_empty_snapshot_of_30b22d6_is_dropped(
        include_bytes!("fixtures/30b22d6-snapshot-empty.bin"), decode_snapshot,
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_048))]

    /// Guards against a heartbeat of build 30b22d6 that decodes as other values, with any number of
    /// origins of streams and of unreachable pools, which its layout encodes differently.
    #[test]
    fn a_heartbeat_of_30b22d6_is_never_misread(
        origins in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u32>()), 0..64),
        pools in prop::collection::vec(any::<u64>(), 0..16),
        cut_off in any::<bool>(),
    ) {
        // The fields before the origins have the same layout in both builds.
        let PeerHeartbeat {
            entry, shutting_down, ready, load_share, segment_holders, outcomes, content, limits,
            leaving_targets, ..
        } = full_heartbeat();
        let head = (entry, shutting_down, ready, load_share, segment_holders, outcomes, content);
        let tail = (limits, leaving_targets, origins, pools, cut_off);
        let bytes = postcard::to_stdvec(&(head, tail)).expect("encoded");
        check_dropped(&bytes, decode_heartbeat);
    }
}
