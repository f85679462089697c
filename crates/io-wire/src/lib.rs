//! Messages between routers: postcard of bounded length over QUIC with mutual TLS, with traffic
//! counters.
//!
//! A link exists only between two hosts that hold certificates of the same fleet authority and
//! speak the same protocol version. The crate does not interpret messages and retries nothing.

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
    identity::PeerCredentials,
    link::{LinkInput, PeerLink, ReplyStream},
    message::{MESSAGE_BYTES_MAX, PeerCall, PeerReply, decode_message, encode_message},
    traffic::{TrafficCounter, TrafficKind, TrafficReport},
};
