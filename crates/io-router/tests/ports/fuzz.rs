//! Arbitrary and mutated bytes on the callers' and operators' ports.

use std::net::SocketAddr;

use proptest::prelude::*;

use crate::fleet::{FLEET, chat_is_whole, chat_request, connect, exchange};

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_end(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        check_both(&[&bytes, &b"\r\n\r\n"[..]].concat());
    }

    #[test]
    fn a_mutated_request_ends(
        cut in 0..200_usize, length in 0..40_usize, noise in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let request = chat_request();
        let start = cut.min(request.len());
        let end = (cut + length).min(request.len());
        check_both(&[&request[..start], &noise, &request[end..]].concat());
    }
}

/// The exchange itself fails the test when it does not end in time.
fn check_both(bytes: &[u8]) {
    let ports = &FLEET.plain;
    for address in [ports.caller, ports.operator] {
        let answer = exchange(address, bytes);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1."), "{answer}");
        assert!(is_alive(address));
    }
    assert!(chat_is_whole(ports.caller));
}

fn is_alive(address: SocketAddr) -> bool {
    connect(address).peer_addr().is_ok()
}
