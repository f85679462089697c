//! Decoding of messages between routers never panics on arbitrary bytes or mutated messages.

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
        body in prop::collection::vec(any::<u8>(), 0..100), index in 0..100_usize, byte in any::<u8>(),
    ) {
        let mut bytes = encode_message(&PeerCall::Sync(body)).unwrap();
        let index = index % bytes.len();
        bytes[index] = byte;
        check_decode(&bytes);
        check_decode(&bytes[..index]);
    }

    #[test]
    fn an_encoded_message_decodes_to_itself(key in any::<u128>(), body in prop::collection::vec(any::<u8>(), 0..100)) {
        for call in [PeerCall::Explain(RequestKey(key)), PeerCall::Sync(body)] {
            let bytes = encode_message(&call).unwrap();
            prop_assert_eq!(decode_message::<PeerCall>(&bytes).unwrap(), call);
        }
    }
}

/// A decoded value must encode to at most as many bytes as it was decoded from.
fn check_decode(bytes: &[u8]) {
    if let Ok(call) = decode_message::<PeerCall>(bytes) {
        assert!(encode_message(&call).unwrap().len() <= bytes.len());
    }
    if let Ok(reply) = decode_message::<PeerReply>(bytes) {
        assert!(encode_message(&reply).unwrap().len() <= bytes.len());
    }
}
