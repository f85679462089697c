//! Messages between routers: QUIC with mutual TLS, length-bounded postcard, counted bytes.
//!
//! A link exists only between two hosts that hold certificates of the same fleet authority and
//! speak the same protocol version. What the messages mean is for callers; nothing is retried.

pub mod keys;

mod endpoint;
mod error;
mod identity;
mod link;
mod message;
mod socket;
mod traffic;

pub use crate::{
    endpoint::WireEndpoint,
    error::WireError,
    identity::PeerTls,
    link::{CallStream, LinkInput, PeerLink},
    message::{MESSAGE_BYTES_MAX, PeerCall, PeerReply, decode_message, encode_message},
    traffic::{TrafficCounter, TrafficKind, TrafficReport},
};
