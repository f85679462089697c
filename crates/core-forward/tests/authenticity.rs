//! Which messages of other routers are accepted, and what a router knows of the formats that they read.

#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/samples.rs"]
mod samples;

use std::time::Duration;

use base_types::{TimePoint, test_cases};
use core_forward::{
    EnvelopeError, FleetKey, ForwardCore, MessageAuthenticity, PeerFormat, PeerHeartbeat, PeerKeys,
    RecordTag, decode_heartbeat, decode_snapshot, encode_heartbeat, encode_snapshot,
};
use state_config::RetryRule;

use fixture::new_router;
use samples::{full_heartbeat, full_snapshot};

const NOW: TimePoint = TimePoint(1_000_000);

fn key(secret: &str) -> Option<FleetKey> {
    (!secret.is_empty()).then(|| FleetKey::from_secret(secret.as_bytes()))
}

/// Keys from their secrets; empty ones are absent.
fn keys(current: &str, previous: &str, required: bool) -> PeerKeys {
    PeerKeys { current: key(current), previous: key(previous), required }
}

fn router(index: u16) -> ForwardCore {
    new_router(NOW, index, 300, RetryRule::ResumableStream)
}

/// Sends a heartbeat and a snapshot with a key, and checks what a router with `keys` makes of them. Guards
/// against messages of strangers that are accepted, and against routers that are deaf while a key is
/// introduced or rotated.
fn check_accepted(
    secret: &str,
    keys: PeerKeys,
    expected: Result<MessageAuthenticity, EnvelopeError>,
) {
    let sent = encode_heartbeat(&full_heartbeat(), key(secret).as_ref()).expect("encoded");
    let decoded = decode_heartbeat(&sent.bytes, &keys);
    assert_eq!(decoded.map(|decoded| decoded.authenticity), expected);
    let sent = encode_snapshot(&full_snapshot(), key(secret).as_ref()).expect("encoded");
    let decoded = decode_snapshot(&sent.bytes, &keys);
    assert_eq!(decoded.map(|decoded| decoded.authenticity), expected);
}

test_cases! {
    check_accepted:
    without_keys_any_message_is_accepted("a", keys("", "", false), Ok(MessageAuthenticity::Unchecked));
    a_requirement_without_a_key_has_no_effect("", keys("", "", true), Ok(MessageAuthenticity::Unchecked));
    a_mac_of_the_key_verifies("a", keys("a", "", true), Ok(MessageAuthenticity::Verified));
    a_mac_of_the_previous_key_verifies("a", keys("b", "a", true), Ok(MessageAuthenticity::Verified));
    a_mac_of_another_key_is_wrong("c", keys("b", "a", false), Err(EnvelopeError::WrongMac));
    a_missing_mac_is_accepted_by_default("", keys("a", "", false), Ok(MessageAuthenticity::Missing));
    a_missing_mac_is_refused_if_one_is_required("", keys("a", "", true), Err(EnvelopeError::MissingMac));
}

/// Guards against a MAC that does not cover a byte, and against one that is valid for another message.
#[test]
fn each_byte_is_covered_by_the_mac() {
    let keys = keys("a", "", true);
    let sent = encode_heartbeat(&full_heartbeat(), keys.current.as_ref()).expect("encoded").bytes;
    assert!(decode_heartbeat(&sent, &keys).is_ok());
    for index in 0..sent.len() {
        let mut changed = sent.clone();
        changed[index] ^= 1;
        assert!(decode_heartbeat(&changed, &keys).is_err(), "byte {index}");
        assert!(decode_heartbeat(&sent[..index], &keys).is_err(), "cut at byte {index}");
    }
    assert!(decode_heartbeat(&[&sent[..], &[0]].concat(), &keys).is_err());
}

/// Guards against a snapshot that is accepted because of the MAC of a heartbeat.
#[test]
fn the_mac_of_a_heartbeat_is_none_of_a_snapshot() {
    let keys = keys("a", "", false);
    let heartbeat = encode_heartbeat(&full_heartbeat(), keys.current.as_ref()).expect("encoded");
    let mac = &heartbeat.bytes[heartbeat.bytes.len() - 32..];
    let sent = postcard::to_stdvec(&full_snapshot()).expect("encoded");
    let covered_by =
        |kind_of_mac: &[u8]| [&sent[..], &[0xFD, b'k', b'x', 1, 6, 127, 32], kind_of_mac].concat();
    assert_eq!(decode_snapshot(&covered_by(mac), &keys), Err(EnvelopeError::WrongMac));
}

/// Delivers heartbeats of one router by incarnation and sequence; checks which are used. Guards against recorded
/// heartbeats that are sent again, and against a router that drops those of others although it has no key.
fn check_replays(secret: &str, deliveries: &[(u64, u64, bool)]) {
    let keys = keys(secret, "", false);
    let mut receiver = router(2);
    for (incarnation, sequence, is_used) in deliveries {
        let mut heartbeat = full_heartbeat();
        heartbeat.entry.incarnation = *incarnation;
        heartbeat.load_share.sequence = *sequence;
        let sent = encode_heartbeat(&heartbeat, keys.current.as_ref()).expect("encoded");
        let decoded = decode_heartbeat(&sent.bytes, &keys).expect("decoded");
        let used = receiver.on_decoded_heartbeat(NOW, decoded);
        assert_eq!(used, *is_used, "{incarnation} {sequence}");
        // The platform's list lacks the router.
        receiver.list_routers(Vec::new());
    }
}

test_cases! {
    check_replays:
    a_repeated_heartbeat_is_dropped("a", &[(1, 5, true), (1, 5, false), (1, 6, true)]);
    an_older_heartbeat_is_dropped("a", &[(1, 5, true), (1, 4, false), (1, 7, true), (1, 6, false)]);
    a_restarted_router_counts_from_the_start("a", &[(1, 5, true), (2, 1, true), (2, 2, true)]);
    a_heartbeat_of_an_earlier_start_is_dropped("a", &[(1, 5, true), (2, 1, true), (1, 6, false), (2, 2, true)]);
    without_a_key_repeated_heartbeats_are_used("", &[(1, 5, true), (1, 5, true), (1, 4, true)]);
}

fn deliver(receiver: &mut ForwardCore, now: TimePoint, sender: &mut ForwardCore) {
    let sent = encode_heartbeat(&sender.next_heartbeat(now), None).expect("encoded");
    let decoded = decode_heartbeat(&sent.bytes, &PeerKeys::default()).expect("decoded");
    assert!(receiver.on_decoded_heartbeat(now, decoded));
}

/// Delivers a heartbeat as build e402b25 sends it.
fn deliver_frozen(receiver: &mut ForwardCore, now: TimePoint, sender: &mut ForwardCore) {
    let sent = postcard::to_stdvec(&sender.next_heartbeat(now)).expect("encoded");
    let decoded = decode_heartbeat(&sent, &PeerKeys::default()).expect("decoded");
    assert!(receiver.on_decoded_heartbeat(now, decoded));
}

/// Guards against a router that relies on records which a router of an earlier build ignores.
#[test]
fn all_live_routers_must_read_a_record() {
    let mut receiver = router(0);
    let reads =
        |receiver: &ForwardCore, now| receiver.every_peer_reads(now, RecordTag::Evacuations);
    assert!(reads(&receiver, NOW), "there is no other router");
    deliver(&mut receiver, NOW, &mut router(1));
    assert!(reads(&receiver, NOW));
    deliver_frozen(&mut receiver, NOW, &mut router(2));
    assert!(!reads(&receiver, NOW), "router 2 is of an earlier build");
    let formats = vec![(PeerFormat::default(), 1), (PeerFormat::CURRENT, 1)];
    assert_eq!(receiver.status(NOW).peer_formats, formats);
    // Router 2 is replaced by this build and back.
    let mut restarted = new_router(NOW, 2, 301, RetryRule::ResumableStream);
    deliver(&mut receiver, NOW, &mut restarted);
    assert!(reads(&receiver, NOW));
    deliver_frozen(&mut receiver, NOW, &mut restarted);
    assert!(reads(&receiver, NOW), "the extension of one heartbeat was left out");
    deliver_frozen(&mut receiver, NOW, &mut new_router(NOW, 2, 302, RetryRule::ResumableStream));
    assert!(!reads(&receiver, NOW));
    let later = NOW.after(Duration::from_secs(2));
    assert!(reads(&receiver, later), "no router is alive");
    assert!(receiver.status(later).peer_formats.is_empty());
}

/// Guards against a format that is kept when the store names another start of a router first.
#[test]
fn the_format_of_an_earlier_start_is_forgotten() {
    let mut receiver = router(0);
    deliver(&mut receiver, NOW, &mut router(1));
    let mut restarted = new_router(NOW, 1, 301, RetryRule::ResumableStream);
    receiver.put_router(restarted.next_heartbeat(NOW).entry);
    deliver_frozen(&mut receiver, NOW, &mut restarted);
    assert!(!receiver.every_peer_reads(NOW, RecordTag::ColdTargets));
}

/// Guards against other decisions than before without settings: a router that receives heartbeats in envelopes is
/// in the same state as one that receives them as build e402b25 did.
#[test]
fn an_envelope_alone_changes_nothing() {
    let (mut receiver, mut former) = (router(0), router(0));
    for round in 0..20 {
        let now = NOW.after(Duration::from_millis(100) * round);
        let mut heartbeat = full_heartbeat();
        heartbeat.load_share.sequence = u64::from(round);
        heartbeat.ready = round % 2 == 0;
        let sent = encode_heartbeat(&heartbeat, None).expect("encoded");
        let decoded = decode_heartbeat(&sent.bytes, &PeerKeys::default()).expect("decoded");
        receiver.on_decoded_heartbeat(now, decoded);
        former.on_heartbeat(now, postcard::from_bytes(&sent.bytes).expect("decoded"));
        assert_eq!(receiver.next_heartbeat(now), former.next_heartbeat(now));
        assert_eq!(receiver.snapshot(now), former.snapshot(now));
        let mut status = receiver.status(now);
        status.peer_formats = former.status(now).peer_formats;
        assert_eq!(status, former.status(now));
        assert_eq!(postcard::from_bytes::<PeerHeartbeat>(&sent.bytes), Ok(heartbeat));
    }
}
