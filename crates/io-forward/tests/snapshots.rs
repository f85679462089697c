//! A snapshot that a peer did not send to its end is never decoded.

use base_types::{HostName, PoolName};
use core_forward::{
    ContentReport, OriginNotice, PeerSnapshot, SegmentHolders, SnapshotExtension, SoftwareKey,
    SoftwareNotice, TargetEntry,
};

fn snapshot() -> PeerSnapshot {
    let target = |name: &str| TargetEntry {
        name: HostName::new(name),
        pool: PoolName::new("pool"),
        address: "127.0.0.1:9".parse().expect("an address"),
        failure_domain: "z".into(),
        software_version: "v1".into(),
        slots: 8,
        draining: false,
        incarnation: 3,
    };
    PeerSnapshot {
        settled: true,
        config: None,
        targets: vec![target("t-a"), target("t-b")],
        leaving_targets: vec![4],
        stream_origins: vec![OriginNotice {
            call_hash: 5,
            software: SoftwareKey(6),
            left_ms: 7,
            replaces: false,
        }],
        software: vec![SoftwareNotice {
            pool: PoolName::new("pool"),
            software: SoftwareKey(6),
            left_ms: 8,
        }],
        software_complete: true,
        content: ContentReport { responding: vec![9], ..ContentReport::default() },
        segment_holders: vec![
            SegmentHolders { segment: 300, target_hashes: vec![1, 2] },
            SegmentHolders { segment: 7, target_hashes: Vec::new() },
        ],
        extension: SnapshotExtension::default(),
    }
}

#[test]
fn a_snapshot_cut_at_any_byte_is_malformed() {
    let snapshot = snapshot();
    let bytes = postcard::to_stdvec(&snapshot).expect("an encoding");
    assert_eq!(postcard::from_bytes::<PeerSnapshot>(&bytes).as_ref(), Ok(&snapshot));
    for length in 0..bytes.len() {
        let decoded = postcard::from_bytes::<PeerSnapshot>(&bytes[..length]);
        assert!(decoded.is_err(), "{length} of {} bytes: {decoded:?}", bytes.len());
    }
}
