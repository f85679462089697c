//! Encoding of [`PlaceMessage`]s, which share a port with heartbeats.
//!
//! ```text
//! magic (3 bytes) | format version (u8) | message (postcard) | MAC over all bytes before it, if there is a key
//! ```
//!
//! The first bytes of a heartbeat are the length of a name, which is never as large as the magic says, so that
//! a build without these messages drops them.

use crate::{
    EnvelopeError, FleetKey, PeerKeys, PlaceMessage,
    fleet_key::{MAC_BYTES, MessageKind},
};

/// Start of a message about a place, with the version of its format.
const MAGIC: [u8; 4] = [0xFD, b'k', b'p', 1];

/// Whether a datagram is a message about a place; any other is a heartbeat.
pub fn is_place_message(datagram: &[u8]) -> bool {
    datagram.starts_with(&MAGIC)
}

/// Encodes a message, with a MAC if there is a key.
///
/// # Errors
///
/// Fails if the message cannot be serialized.
pub fn encode_place(
    message: &PlaceMessage,
    key: Option<&FleetKey>,
) -> Result<Vec<u8>, EnvelopeError> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(message).map_err(|_| EnvelopeError::NotEncodable)?);
    if let Some(key) = key {
        let mac = key.mac(MessageKind::Place, &bytes);
        bytes.extend(mac.as_bytes());
    }
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is malformed, or if the MAC is wrong, or missing although it is required.
pub fn decode_place(datagram: &[u8], keys: &PeerKeys) -> Result<PlaceMessage, EnvelopeError> {
    let payload = datagram.strip_prefix(&MAGIC).ok_or(EnvelopeError::Malformed)?;
    let decoded = postcard::take_from_bytes::<PlaceMessage>(payload);
    let (message, mac) = decoded.map_err(|_| EnvelopeError::Malformed)?;
    if !mac.is_empty() && mac.len() != MAC_BYTES {
        return Err(EnvelopeError::Malformed);
    }
    if keys.current.is_none() {
        return Ok(message);
    }
    let Ok(mac) = <&[u8; MAC_BYTES]>::try_from(mac) else {
        return if keys.required { Err(EnvelopeError::MissingMac) } else { Ok(message) };
    };
    let covered = &datagram[..datagram.len() - MAC_BYTES];
    match keys.verifies(MessageKind::Place, covered, mac) {
        true => Ok(message),
        false => Err(EnvelopeError::WrongMac),
    }
}
