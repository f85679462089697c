//! Messages between routers: arbitrary bytes and mutated messages are decoded or refused.

use base_types::RequestKey;
use io_wire::{PeerCall, PeerReply, decode_message, encode_message};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        check_decode(&bytes);
    }

    #[test]
    fn a_mutated_message_is_decoded_or_refused(
        body in prop::collection::vec(any::<u8>(), 0..100), place in 0..100_usize, byte in any::<u8>(),
    ) {
        let mut bytes = encode_message(&PeerCall::Sync(body)).unwrap();
        let place = place % bytes.len();
        bytes[place] = byte;
        check_decode(&bytes);
        check_decode(&bytes[..place]);
    }

    #[test]
    fn a_message_is_decoded_as_it_was(key in any::<u128>(), body in prop::collection::vec(any::<u8>(), 0..100)) {
        for call in [PeerCall::Explain(RequestKey(key)), PeerCall::Sync(body)] {
            let bytes = encode_message(&call).unwrap();
            prop_assert_eq!(decode_message::<PeerCall>(&bytes).unwrap(), call);
        }
    }
}

/// What is decoded encodes to no more bytes than it was decoded from.
fn check_decode(bytes: &[u8]) {
    if let Ok(call) = decode_message::<PeerCall>(bytes) {
        assert!(encode_message(&call).unwrap().len() <= bytes.len());
    }
    if let Ok(reply) = decode_message::<PeerReply>(bytes) {
        assert!(encode_message(&reply).unwrap().len() <= bytes.len());
    }
}
