//! Heartbeats and snapshots on the wire: records beside the frozen layout, read by routers of several
//! builds.

#[path = "support/fixture.rs"]
mod fixture;

use base_types::{TimePoint, test_cases};
use core_forward::{
    ColdNotice, EvacuationNotice, ExtensionFault, ExtensionState, FragileNotice,
    HEARTBEAT_BYTES_MAX, HeartbeatExtension, PeerFormat, PeerHeartbeat, PeerKeys, PeerSnapshot,
    RecordTag, RouterCapacity, SnapshotExtension, SpeedNotice, WaitingNotice, decode_heartbeat,
    decode_snapshot, encode_heartbeat, encode_snapshot,
};
use state_config::RetryRule;

use fixture::new_router;

const NOW: TimePoint = TimePoint(1_000_000);

fn evacuations(domains: usize) -> EvacuationNotice {
    let names = (0..domains).map(|index| format!("domain-{index}").into());
    EvacuationNotice { revision: 7, domains: names.collect() }
}

fn cold_targets(count: u64) -> Vec<ColdNotice> {
    (0..count).map(|index| ColdNotice { target_hash: u64::MAX - index, left_ms: 3_000 }).collect()
}

fn speeds(count: u64) -> Vec<SpeedNotice> {
    let notice = |target_hash| SpeedNotice {
        target_hash,
        slowdown_percent: 250,
        limit: u16::MAX,
        samples: u16::MAX,
    };
    (0..count).map(|index| notice(u64::MAX - index)).collect()
}

fn fragile_pools(count: u64) -> Vec<FragileNotice> {
    let pools = 0..count;
    pools.map(|pool_hash| FragileNotice { pool_hash, bearable: 8, age_ms: 20 }).collect()
}

/// An extension with something in each record.
fn full_extension() -> HeartbeatExtension {
    HeartbeatExtension {
        cold_targets: cold_targets(2),
        evacuations: Some(evacuations(1)),
        speeds: speeds(3),
        capacity: Some(RouterCapacity { weight: 12, load_percent: 80 }),
        waiting: vec![WaitingNotice { pool_hash: 5, calls: 6 }],
        fragile_pools: fragile_pools(2),
        record_refused: true,
        config_version: Some(u64::MAX),
    }
}

fn heartbeat(extension: HeartbeatExtension) -> PeerHeartbeat {
    let mut router = new_router(NOW, 1, 1, RetryRule::ResumableStream);
    PeerHeartbeat { extension, ..router.next_heartbeat(NOW) }
}

fn snapshot(extension: SnapshotExtension) -> PeerSnapshot {
    let router = new_router(NOW, 1, 1, RetryRule::ResumableStream);
    PeerSnapshot { extension, ..router.snapshot(NOW) }
}

fn encode(extension: HeartbeatExtension) -> Vec<u8> {
    encode_heartbeat(&heartbeat(extension), None).expect("encoded").bytes
}

/// Bytes of an extension whose header is that of this build.
fn extension_bytes(records: &[(u8, &[u8])]) -> Vec<u8> {
    let base = postcard::to_stdvec(&heartbeat(HeartbeatExtension::default())).expect("encoded");
    let mut bytes = encode(HeartbeatExtension::default()).split_off(base.len());
    for (tag, payload) in records {
        bytes.extend(postcard::to_stdvec(&(*tag, payload.len() as u32)).expect("encoded"));
        bytes.extend(*payload);
    }
    bytes
}

/// Checks what is read of a heartbeat whose frozen layout is followed by `bytes`. Guards against an
/// extension that is misread, or that takes the frozen layout with it.
fn check_extension(bytes: Vec<u8>, state: ExtensionState, unknown_records: usize) {
    let base = heartbeat(HeartbeatExtension::default());
    let mut datagram = postcard::to_stdvec(&base).expect("encoded");
    datagram.extend(bytes);
    let decoded = decode_heartbeat(&datagram, &PeerKeys::default()).expect("decoded");
    assert_eq!(decoded.message, base);
    assert_eq!((decoded.extension, decoded.unknown_records), (state, unknown_records));
    let format =
        if state == ExtensionState::Read { PeerFormat::CURRENT } else { PeerFormat::default() };
    assert_eq!(decoded.format, format);
}

fn payload<T: serde::Serialize>(value: T) -> Vec<u8> {
    postcard::to_stdvec(&value).expect("encoded")
}

test_cases! {
    check_extension:
    a_heartbeat_without_an_extension_is_of_format_zero(Vec::new(), ExtensionState::Absent, 0);
    bytes_of_another_kind_are_no_extension(
        b"\x01\x00\x01\x05".to_vec(), ExtensionState::Dropped(ExtensionFault::Foreign), 0,
    );
    a_header_cut_off_is_truncated(
        extension_bytes(&[])[..4].to_vec(), ExtensionState::Dropped(ExtensionFault::Truncated), 0,
    );
    another_framing_is_not_read(
        vec![0xFD, b'k', b'x', 2, 9, 1, 0], ExtensionState::Dropped(ExtensionFault::OtherVersion), 0,
    );
    an_extension_without_records_is_read(extension_bytes(&[]), ExtensionState::Read, 0);
    unknown_records_are_skipped_and_counted(
        extension_bytes(&[(90, &[1, 2, 3]), (200, &[]), (6, &[0])]), ExtensionState::Read, 3,
    );
    a_record_longer_than_the_datagram_is_truncated(
        [extension_bytes(&[(4, &payload((1u32, 2u16)))]), vec![90, 4, 1, 2, 3]].concat(),
        ExtensionState::Dropped(ExtensionFault::Truncated), 0,
    );
    a_record_of_four_gigabytes_is_oversized(
        [extension_bytes(&[]), vec![90, 0xFF, 0xFF, 0xFF, 0xFF, 0x0F]].concat(),
        ExtensionState::Dropped(ExtensionFault::Oversized), 0,
    );
    a_list_of_too_many_entries_is_oversized(
        extension_bytes(&[(4, &payload((1u32, 2u16))), (1, &payload(vec![(1u64, 1u32); 129]))]),
        ExtensionState::Dropped(ExtensionFault::Oversized), 0,
    );
    a_set_of_too_many_domains_is_oversized(
        extension_bytes(&[(2, &payload((7u64, vec!["d"; 65])))]),
        ExtensionState::Dropped(ExtensionFault::Oversized), 0,
    );
    the_name_of_a_domain_is_bounded(
        extension_bytes(&[(2, &payload((7u64, vec!["d".repeat(129)])))]),
        ExtensionState::Dropped(ExtensionFault::Oversized), 0,
    );
    too_many_records_are_oversized(
        extension_bytes(&std::array::from_fn::<(u8, &[u8]), 65, _>(|index| (130 + index as u8, &[][..]))),
        ExtensionState::Dropped(ExtensionFault::Oversized), 0,
    );
    a_record_with_bytes_after_its_value_is_malformed(
        extension_bytes(&[(4, &payload((1u32, 2u16, 3u8)))]),
        ExtensionState::Dropped(ExtensionFault::Malformed), 0,
    );
    a_record_that_ends_early_is_malformed(
        extension_bytes(&[(4, &payload(1u32))]),
        ExtensionState::Dropped(ExtensionFault::Malformed), 0,
    );
    a_second_record_of_a_tag_is_malformed(
        extension_bytes(&[(4, &payload((1u32, 2u16))), (4, &payload((3u32, 4u16)))]),
        ExtensionState::Dropped(ExtensionFault::Malformed), 0,
    );
    a_record_after_the_mac_is_malformed(
        extension_bytes(&[(127, &[0; 32]), (4, &payload((1u32, 2u16)))]),
        ExtensionState::Dropped(ExtensionFault::Malformed), 0,
    );
}

/// Guards against a record that is lost or changed between encoding and decoding.
#[test]
fn all_records_are_read_as_they_were_written() {
    let sent = heartbeat(full_extension());
    let encoded = encode_heartbeat(&sent, None).expect("encoded");
    let decoded = decode_heartbeat(&encoded.bytes, &PeerKeys::default()).expect("decoded");
    assert_eq!((decoded.message, decoded.extension), (sent, ExtensionState::Read));
    assert!(encoded.omitted.is_empty());
    let sent = snapshot(SnapshotExtension {
        cold_targets: cold_targets(300),
        cold_rates: vec![(1, 14_000)],
        evacuations: Some(evacuations(2)),
        speeds: speeds(300),
        fragile_pools: fragile_pools(64),
    });
    let encoded = encode_snapshot(&sent, None).expect("encoded");
    let decoded = decode_snapshot(&encoded.bytes, &PeerKeys::default()).expect("decoded");
    assert_eq!((decoded.message, decoded.extension), (sent, ExtensionState::Read));
    assert!(encoded.omitted.is_empty());
}

/// Checks which records are left out of a heartbeat whose frozen layout is longer by `holders` segment
/// holders. Guards against datagrams that receivers cut off, and against a set of domains that is sent in
/// part.
fn check_omitted(holders: usize, extension: HeartbeatExtension, omitted: &[RecordTag]) {
    let mut sent = heartbeat(extension);
    sent.segment_holders = vec![(u64::MAX, u64::MAX); holders];
    let encoded = encode_heartbeat(&sent, None).expect("encoded");
    assert!(encoded.bytes.len() <= HEARTBEAT_BYTES_MAX, "{} bytes", encoded.bytes.len());
    assert_eq!(encoded.omitted, omitted);
    let decoded = decode_heartbeat(&encoded.bytes, &PeerKeys::default()).expect("decoded").message;
    for tag in omitted {
        match tag {
            RecordTag::Speeds => sent.extension.speeds.clear(),
            RecordTag::Evacuations => sent.extension.evacuations = None,
            RecordTag::WaitingCalls => sent.extension.waiting.clear(),
            RecordTag::ColdTargets => {
                let read = decoded.extension.cold_targets.len();
                sent.extension.cold_targets.truncate(read);
            }
            _ => sent.extension = HeartbeatExtension::default(),
        }
    }
    assert_eq!(decoded, sent);
}

test_cases! {
    check_omitted:
    speeds_are_left_out_first(
        400, HeartbeatExtension { speeds: speeds(64), ..full_extension() }, &[RecordTag::Speeds],
    );
    evacuations_are_left_out_last(
        404,
        HeartbeatExtension { cold_targets: cold_targets(64), ..full_extension() },
        &[RecordTag::ColdTargets, RecordTag::Speeds],
    );
    a_set_of_domains_is_sent_whole_or_not_at_all(
        0,
        HeartbeatExtension { evacuations: Some(evacuations(65)), ..full_extension() },
        &[RecordTag::Evacuations],
    );
    cold_targets_beyond_the_bound_are_left_out(
        0,
        HeartbeatExtension { cold_targets: cold_targets(129), ..full_extension() },
        &[RecordTag::ColdTargets],
    );
}
