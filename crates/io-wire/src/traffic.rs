//! Counters of control traffic between routers, in bytes on the wire.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base_types::key_types;

/// Bytes of the IPv4 and UDP headers of one datagram.
pub(crate) const IP_UDP_HEADER_BYTES: u64 = 28;

key_types! {
    /// Purpose that bytes on the wire were sent for.
    #[serde(rename_all = "kebab-case")]
    pub enum TrafficKind {
        /// Connection set-up: packets with a long QUIC header.
        Handshake,
        /// Overhead of QUIC: packet headers, acknowledgements and all else that is not payload.
        Transport,
        /// Heartbeats, with their digests of gossiped state.
        Heartbeat,
        /// Membership changes: routers that join, are suspected, fail or leave.
        Member,
        /// Rows of the routes and pools tables.
        Row,
        /// Entries of the host list.
        Host,
        /// Notices about load, client accounts and suspect content.
        Notice,
        /// Repair of gossiped state that a router missed.
        Repair,
        /// Other calls between routers and their replies.
        Call,
    }

    /// Totals of all traffic since the process started.
    #[derive(Default)]
    pub struct TrafficReport {
        /// Bytes sent, with IPv4 and UDP headers; IPv6 links count 20 bytes per
        /// datagram too few.
        pub sent_bytes: u64,
        /// UDP datagrams sent.
        pub sent_datagrams: u64,
        /// Bytes received, with IPv4 and UDP headers; IPv6 links count 20 bytes per
        /// datagram too few.
        pub received_bytes: u64,
        /// UDP datagrams received.
        pub received_datagrams: u64,
        /// Incoming connections that were refused or failed before they became links.
        pub refused_peers: u64,
        /// Received messages that were dropped as malformed, oversize or late.
        pub refused_messages: u64,
    }
}

impl TrafficKind {
    /// Name of the kind in the status and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::Transport => "transport",
            Self::Heartbeat => "heartbeat",
            Self::Member => "member",
            Self::Row => "row",
            Self::Host => "host",
            Self::Notice => "notice",
            Self::Repair => "repair",
            Self::Call => "call",
        }
    }
}

#[derive(Debug, Default)]
struct TrafficState {
    report: TrafficReport,
    handshake_bytes: u64,
    payload_bytes: BTreeMap<TrafficKind, u64>,
}

/// Traffic counters of one endpoint; clones share the same counters.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounter {
    state: Arc<Mutex<TrafficState>>,
}

impl TrafficCounter {
    /// Totals since the process started.
    pub fn report(&self) -> TrafficReport {
        self.lock().report
    }

    /// Bytes sent by kind; the values add up to [`TrafficReport::sent_bytes`].
    pub fn sent_by_kind(&self) -> BTreeMap<TrafficKind, u64> {
        let state = self.lock();
        let mut kinds = state.payload_bytes.clone();
        kinds.insert(TrafficKind::Handshake, state.handshake_bytes);
        let attributed: u64 = kinds.values().sum();
        kinds.insert(TrafficKind::Transport, state.report.sent_bytes.saturating_sub(attributed));
        kinds
    }

    /// Attributes payload bytes of an outgoing message, or of a section of one, to a kind.
    pub fn record_payload(&self, kind: TrafficKind, bytes: usize) {
        *self.lock().payload_bytes.entry(kind).or_default() += bytes as u64;
    }

    /// Counts a received message that was dropped as malformed, oversize or late.
    pub fn add_refused_message(&self) {
        self.lock().report.refused_messages += 1;
    }

    pub(crate) fn add_refused_peer(&self) {
        self.lock().report.refused_peers += 1;
    }

    pub(crate) fn add_sent(&self, contents: &[u8], segment_size: Option<usize>) {
        let segment_size = segment_size.unwrap_or(contents.len()).max(1);
        let mut state = self.lock();
        for datagram in contents.chunks(segment_size) {
            let bytes = datagram.len() as u64 + IP_UDP_HEADER_BYTES;
            state.report.sent_bytes += bytes;
            state.report.sent_datagrams += 1;
            if is_long_header(datagram) {
                state.handshake_bytes += bytes;
            }
        }
    }

    pub(crate) fn add_received(&self, bytes: usize, stride: usize) {
        let datagrams = bytes.div_ceil(stride.max(1)) as u64;
        let mut state = self.lock();
        state.report.received_bytes += bytes as u64 + datagrams * IP_UDP_HEADER_BYTES;
        state.report.received_datagrams += datagrams;
    }

    fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a datagram starts with a long QUIC header, whose first bit is set (RFC 9000, section
/// 17.2).
fn is_long_header(datagram: &[u8]) -> bool {
    const HEADER_FORM_BIT: u8 = 0x80;
    datagram.first().is_some_and(|first| first & HEADER_FORM_BIT != 0)
}
