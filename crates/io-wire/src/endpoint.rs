//! The QUIC endpoint of a process, which accepts links from peers and connects to peers.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use quinn::{
    AckFrequencyConfig, ClientConfig, Connection, Endpoint, EndpointConfig, Incoming, Runtime,
    ServerConfig, TokioRuntime, TransportConfig, VarInt,
};
use tokio::sync::{Semaphore, mpsc};

use crate::{
    MESSAGE_BYTES_MAX, PeerCredentials, PeerLink, TrafficCounter, WireError,
    identity::{PROTOCOL, peer_host},
    keys::FLEET_NAME,
    socket::CountedSocket,
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CONCURRENT_HANDSHAKES_MAX: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const CONCURRENT_STREAMS_MAX: u32 = 16;
const LINK_BUFFER_BYTES: u32 = 2 * MESSAGE_BYTES_MAX as u32;
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Longer than the heartbeat interval of 400 ms (core-peers), so that an acknowledgement can wait
/// for the next heartbeat.
const ACK_DELAY: Duration = Duration::from_millis(600);
const ACK_THRESHOLD: u32 = 8;
const ACCEPTED_QUEUE_LEN: usize = 16;
const CLOSE_NO_HOST_NAME: VarInt = VarInt::from_u32(2);

/// QUIC endpoint for links to other routers; clones share one socket.
#[derive(Debug, Clone)]
pub struct WireEndpoint {
    endpoint: Endpoint,
    counter: TrafficCounter,
}

impl WireEndpoint {
    /// Binds a socket and accepts links from hosts of the same fleet in the background. Accepted
    /// links arrive on the returned channel. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the keys cannot be used or the address cannot be bound.
    pub fn bind(
        listen: SocketAddr,
        tls: &PeerCredentials,
    ) -> Result<(Self, mpsc::Receiver<PeerLink>), Report<WireError>> {
        Self::bind_protocol(listen, tls, PROTOCOL)
    }

    /// As [`Self::bind`], with another ALPN identifier; links to endpoints with a different one are
    /// refused.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::bind`].
    pub fn bind_protocol(
        listen: SocketAddr,
        tls: &PeerCredentials,
        protocol: &[u8],
    ) -> Result<(Self, mpsc::Receiver<PeerLink>), Report<WireError>> {
        let counter = TrafficCounter::default();
        let transport = Arc::new(transport_config());
        let mut server = ServerConfig::with_crypto(Arc::new(tls.server_config(protocol)?));
        server.transport_config(transport.clone()).max_incoming(CONCURRENT_HANDSHAKES_MAX);
        server.migration(false);
        let mut client = ClientConfig::new(Arc::new(tls.client_config(protocol)?));
        client.transport_config(transport);
        let socket = counted_socket(listen, counter.clone())?;
        let mut endpoint = Endpoint::new_with_abstract_socket(
            EndpointConfig::default(),
            Some(server),
            socket,
            Arc::new(TokioRuntime),
        )
        .change_context(WireError::Bind)?;
        endpoint.set_default_client_config(client);
        let (sender, receiver) = mpsc::channel(ACCEPTED_QUEUE_LEN);
        let wire = Self { endpoint, counter };
        tokio::spawn(wire.clone().accept_links(sender));
        Ok((wire, receiver))
    }

    /// The address that the socket is bound to, with the port chosen by the system if it was 0.
    ///
    /// # Errors
    ///
    /// Fails when the system does not return the address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Connects to the peer at an address.
    ///
    /// # Errors
    ///
    /// Fails when the handshake does not end in time, or either side refuses the other.
    pub async fn connect(&self, address: SocketAddr) -> Result<PeerLink, Report<WireError>> {
        let connecting = self.endpoint.connect(address, FLEET_NAME);
        let connecting = connecting.change_context(WireError::Unreachable)?;
        let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, connecting)
            .await
            .change_context(WireError::Unreachable)?
            .change_context(WireError::Refused)?;
        self.authenticated_link(connection)
    }

    /// Traffic counters of this endpoint.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.counter
    }

    /// Closes the endpoint and all of its links, and waits for a bounded time until the peers have
    /// been notified.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"");
        let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    async fn accept_links(self, links: mpsc::Sender<PeerLink>) {
        let handshake_permits = Arc::new(Semaphore::new(CONCURRENT_HANDSHAKES_MAX));
        while let Some(incoming) = self.endpoint.accept().await {
            let Ok(permit) = handshake_permits.clone().try_acquire_owned() else {
                self.counter.add_refused_peer();
                incoming.refuse();
                continue;
            };
            let wire = self.clone();
            let links = links.clone();
            tokio::spawn(async move {
                let accepted = wire.accept_link(incoming).await;
                drop(permit);
                match accepted {
                    Ok(link) => drop(links.send(link).await),
                    Err(report) => {
                        wire.counter.add_refused_peer();
                        log::warn!("incoming peer connection failed: {report:?}");
                    }
                }
            });
        }
    }

    async fn accept_link(&self, incoming: Incoming) -> Result<PeerLink, Report<WireError>> {
        let connection = tokio::time::timeout(HANDSHAKE_TIMEOUT, incoming)
            .await
            .change_context(WireError::Unreachable)?
            .change_context(WireError::Refused)?;
        self.authenticated_link(connection)
    }

    fn authenticated_link(&self, connection: Connection) -> Result<PeerLink, Report<WireError>> {
        let Some(host) = peer_host(&connection) else {
            connection.close(CLOSE_NO_HOST_NAME, b"");
            return Err(Report::new(WireError::Refused).attach("the certificate names no host"));
        };
        Ok(PeerLink::new(connection, host, self.counter.clone()))
    }
}

fn counted_socket(
    listen: SocketAddr,
    counter: TrafficCounter,
) -> Result<Arc<CountedSocket>, Report<WireError>> {
    let socket = UdpSocket::bind(listen)
        .change_context(WireError::Bind)
        .attach_with(|| format!("cannot bind {listen}"))?;
    let inner = TokioRuntime.wrap_udp_socket(socket).change_context(WireError::Bind)?;
    Ok(Arc::new(CountedSocket { inner, counter }))
}

/// Acknowledgements are delayed so that they share a datagram with the next heartbeat, as an
/// acknowledgement on its own costs a datagram.
fn transport_config() -> TransportConfig {
    let mut ack = AckFrequencyConfig::default();
    ack.ack_eliciting_threshold(VarInt::from_u32(ACK_THRESHOLD));
    ack.max_ack_delay(Some(ACK_DELAY));
    let mut config = TransportConfig::default();
    config
        .max_concurrent_uni_streams(VarInt::from_u32(CONCURRENT_STREAMS_MAX))
        .max_concurrent_bidi_streams(VarInt::from_u32(CONCURRENT_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(MESSAGE_BYTES_MAX as u32))
        .receive_window(VarInt::from_u32(LINK_BUFFER_BYTES))
        .send_window(u64::from(LINK_BUFFER_BYTES))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok())
        .mtu_discovery_config(None)
        .ack_frequency_config(Some(ack));
    config
}
