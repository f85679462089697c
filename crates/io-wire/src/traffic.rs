//! Counts of control traffic in bytes on the wire.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base_types::key_types;

/// Bytes of the IPv4 and UDP headers of one datagram.
pub(crate) const HEADER_BYTES: u64 = 28;

key_types! {
    /// What bytes on the wire were spent on.
    #[serde(rename_all = "kebab-case")]
    pub enum TrafficKind {
        /// Setting up links: packets with a long QUIC header.
        Handshake,
        /// Headers, acknowledgements and everything else that QUIC itself adds.
        Transport,
        /// Heartbeats and digests.
        Heartbeat,
        /// Members that join, are suspected, fail or leave.
        Member,
        /// Rows of the tables.
        Row,
        /// Rows of the host list.
        Host,
        /// Notices about load, accounts and suspects.
        Notice,
        /// Repair of what was missed.
        Repair,
        /// Calls between routers.
        Call,
    }

    /// Bytes and datagrams since the start of the process.
    #[derive(Default)]
    pub struct TrafficReport {
        /// Bytes sent, with IP and UDP headers.
        pub sent_bytes: u64,
        /// Datagrams sent.
        pub sent_datagrams: u64,
        /// Bytes received, with IP and UDP headers.
        pub received_bytes: u64,
        /// Datagrams received.
        pub received_datagrams: u64,
        /// Peers refused in the handshake.
        pub refused_peers: u64,
        /// Messages refused as malformed or oversize.
        pub refused_messages: u64,
    }
}

impl TrafficKind {
    /// The word that stands in status and metrics.
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
    payloads: BTreeMap<TrafficKind, u64>,
}

/// Counter of the traffic of one process; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct TrafficCounter {
    state: Arc<Mutex<TrafficState>>,
}

impl TrafficCounter {
    /// Totals so far.
    pub fn report(&self) -> TrafficReport {
        self.lock().report
    }

    /// Bytes sent so far by kind; they add up to the total sent.
    pub fn sent_by_kind(&self) -> BTreeMap<TrafficKind, u64> {
        let state = self.lock();
        let mut kinds = state.payloads.clone();
        kinds.insert(TrafficKind::Handshake, state.handshake_bytes);
        let named: u64 = kinds.values().sum();
        kinds.insert(TrafficKind::Transport, state.report.sent_bytes.saturating_sub(named));
        kinds
    }

    /// Counts the payload of a message, or of its part, by what it is for.
    pub fn add_payload(&self, kind: TrafficKind, bytes: usize) {
        *self.lock().payloads.entry(kind).or_default() += bytes as u64;
    }

    /// Counts a message that was refused.
    pub fn add_refused_message(&self) {
        self.lock().report.refused_messages += 1;
    }

    pub(crate) fn add_refused_peer(&self) {
        self.lock().report.refused_peers += 1;
    }

    pub(crate) fn add_sent(&self, contents: &[u8], segment: Option<usize>) {
        let segment = segment.unwrap_or(contents.len()).max(1);
        let mut state = self.lock();
        for datagram in contents.chunks(segment) {
            let bytes = datagram.len() as u64 + HEADER_BYTES;
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
        state.report.received_bytes += bytes as u64 + datagrams * HEADER_BYTES;
        state.report.received_datagrams += datagrams;
    }

    fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// RFC 9000, section 17.2: the first bit of a long header is set.
fn is_long_header(datagram: &[u8]) -> bool {
    const LONG_HEADER: u8 = 0x80;
    datagram.first().is_some_and(|first| first & LONG_HEADER != 0)
}
