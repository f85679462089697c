//! Keys with which routers authenticate what they send each other.
//!
//! Any process that reaches a router's heartbeat port can claim to be a router. With a key that all
//! routers share, a message whose MAC does not verify changes nothing.

use std::fmt;

use base_types::message_types;

/// Bytes of a MAC.
pub(crate) const MAC_BYTES: usize = blake3::OUT_LEN;

/// Contexts of the key derivation. A MAC of one kind of message does not verify for another kind.
const HEARTBEAT_CONTEXT: &str = "knapweedport 2026-12-04 router heartbeats";
const SNAPSHOT_CONTEXT: &str = "knapweedport 2026-12-04 router snapshots";
const PLACE_CONTEXT: &str = "knapweedport 2026-12-05 places at targets";

/// Kind of a message that is authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Heartbeat,
    Snapshot,
    Place,
}

/// Key of the fleet: one key per kind of message, derived from the operator's secret by BLAKE3
/// (O'Connor, Aumasson, Neves and Wilcox-O'Hearn, 2020). Its `Debug` form hides the keys.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    heartbeat: [u8; blake3::KEY_LEN],
    snapshot: [u8; blake3::KEY_LEN],
    place: [u8; blake3::KEY_LEN],
}

impl FleetKey {
    /// Derives the keys from a secret of any length; it must be hard to guess, as the derivation is
    /// fast.
    pub fn from_secret(secret: &[u8]) -> Self {
        Self {
            heartbeat: blake3::derive_key(HEARTBEAT_CONTEXT, secret),
            snapshot: blake3::derive_key(SNAPSHOT_CONTEXT, secret),
            place: blake3::derive_key(PLACE_CONTEXT, secret),
        }
    }

    pub(crate) fn mac(&self, kind: MessageKind, bytes: &[u8]) -> blake3::Hash {
        let key = match kind {
            MessageKind::Heartbeat => &self.heartbeat,
            MessageKind::Snapshot => &self.snapshot,
            MessageKind::Place => &self.place,
        };
        blake3::keyed_hash(key, bytes)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey[hidden]")
    }
}

message_types! {
    /// Keys of a router, and what it requires of the messages of others.
    #[derive(Eq, Default)]
    pub struct PeerKeys {
        /// Key that messages are sent with; `None` if they are sent without a MAC and MACs are not
        /// checked.
        pub current: Option<FleetKey>,
        /// Further key whose MACs are accepted, for a rotation; without effect if `current` is absent.
        pub previous: Option<FleetKey>,
        /// Whether messages without a MAC are dropped; without effect if `current` is absent.
        pub required: bool,
    }
}

impl PeerKeys {
    /// Whether a MAC verifies with one of the keys; compared in constant time.
    pub(crate) fn verifies(&self, kind: MessageKind, bytes: &[u8], mac: &[u8; MAC_BYTES]) -> bool {
        let mut keys = self.current.iter().chain(&self.previous);
        keys.any(|key| key.mac(kind, bytes) == *mac)
    }
}
