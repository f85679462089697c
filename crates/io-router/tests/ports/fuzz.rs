//! Arbitrary and mutated bytes on the callers' and operators' ports.

use std::net::SocketAddr;

use proptest::prelude::*;

use crate::fleet::{FLEET, chat_completes, chat_request, connect, exchange};

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_get_an_answer_or_close(bytes in prop::collection::vec(any::<u8>(), 0..2000)) {
        check_both_ports(&[&bytes, &b"\r\n\r\n"[..]].concat());
    }

    #[test]
    fn a_mutated_request_gets_an_answer_or_close(
        cut in 0..200_usize, length in 0..40_usize, inserted in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let request = chat_request();
        let start = cut.min(request.len());
        let end = (cut + length).min(request.len());
        check_both_ports(&[&request[..start], &inserted, &request[end..]].concat());
    }
}

/// Sends the bytes to both ports; `exchange` panics when the connection is not closed in time.
fn check_both_ports(bytes: &[u8]) {
    let ports = &FLEET.plain;
    for address in [ports.caller, ports.operator] {
        let answer = exchange(address, bytes);
        assert!(answer.is_empty() || answer.starts_with("HTTP/1."), "{answer}");
        assert!(accepts_connections(address));
    }
    assert!(chat_completes(ports.caller));
}

fn accepts_connections(address: SocketAddr) -> bool {
    connect(address).peer_addr().is_ok()
}
