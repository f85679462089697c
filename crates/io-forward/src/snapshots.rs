//! Snapshots of a router's state, which a starting router copies from a peer.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use core_forward::{PeerKeys, PeerSnapshot, SNAPSHOT_BYTES_MAX, decode_snapshot, encode_snapshot};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    ForwardState,
    contents::fetch_cached_segments,
    peer_faults::{FaultLog, MessageOutcome},
};

/// Kind of the messages in metrics.
const KIND: &str = "snapshot";

/// Timeout for sending or reading one snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a starting router waits to learn of its peers.
const PEERS_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a starting router checks whether it knows any peers.
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of peers that are asked for a snapshot.
const SOURCES_MAX: usize = 3;

/// Backoff after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Sends a snapshot to every router that connects, until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve_snapshots(
    state: ForwardState,
    address: SocketAddr,
    keys: Rc<PeerKeys>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(
                    error = error.to_string().as_str();
                    "accepting a snapshot connection failed"
                );
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let snapshot = state.with_core(|core, now| core.snapshot(now));
        let keys = keys.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = send_snapshot(stream, &snapshot, &keys).await {
                log::debug!(error = error.to_string().as_str(); "sending a snapshot failed");
            }
        });
    }
}

/// Restores state from a peer's snapshot; if no peer knows the cached segments of the engines,
/// fetches them from the engines.
pub async fn bootstrap_from_peers(state: ForwardState, keys: Rc<PeerKeys>) {
    // Waits until a peer is known: a router without peers takes every engine as assigned to it, and
    // several starting routers would query the same engines.
    let sources = timeout(PEERS_TIMEOUT, wait_for_peers(&state)).await;
    let sources = sources.unwrap_or_default();
    for source in sources.into_iter().take(SOURCES_MAX) {
        if restore_snapshot(&state, source, &keys).await {
            return;
        }
    }
    fetch_cached_segments(&state).await;
}

/// Restores one peer's snapshot; returns whether that peer knows the engines' cached segments.
async fn restore_snapshot(state: &ForwardState, source: SocketAddr, keys: &PeerKeys) -> bool {
    let peer = source.to_string();
    match read_snapshot(state, source, keys).await {
        Ok(snapshot) => {
            let (settled, parts) = (snapshot.settled, snapshot.segment_holders.len());
            let targets = snapshot.targets.len();
            state.with_core(|core, now| core.restore(now, snapshot));
            state.notify_origins();
            log::info!(peer = peer.as_str(), settled, targets, parts; "snapshot restored");
            settled
        }
        Err(error) => {
            let error = error.to_string();
            log::info!(peer = peer.as_str(), error = error.as_str(); "fetching a snapshot failed");
            false
        }
    }
}

async fn wait_for_peers(state: &ForwardState) -> Vec<SocketAddr> {
    loop {
        let sources = state.with_core(|core, _| core.snapshot_sources());
        if !sources.is_empty() {
            return sources;
        }
        tokio::time::sleep(PEERS_POLL_INTERVAL).await;
    }
}

async fn send_snapshot(
    mut stream: TcpStream,
    snapshot: &PeerSnapshot,
    keys: &PeerKeys,
) -> io::Result<()> {
    let encoded = encode_snapshot(snapshot, keys.current.as_ref()).map_err(io::Error::other)?;
    if !encoded.omitted.is_empty() {
        let records = format!("{:?}", encoded.omitted);
        log::debug!(records = records.as_str(); "records left out of a snapshot");
    }
    let sending = async {
        stream.write_all(&encoded.bytes).await?;
        stream.shutdown().await
    };
    timeout(SNAPSHOT_TIMEOUT, sending).await?
}

async fn read_snapshot(
    state: &ForwardState,
    source: SocketAddr,
    keys: &PeerKeys,
) -> io::Result<PeerSnapshot> {
    let reading = async {
        let stream = TcpStream::connect(source).await?;
        let mut bytes = Vec::new();
        // A longer snapshot is cut off.
        stream.take(SNAPSHOT_BYTES_MAX as u64 + 1).read_to_end(&mut bytes).await?;
        let decoded = decode_snapshot(&bytes, keys);
        let outcome = MessageOutcome::of(&decoded);
        outcome.count(state, KIND);
        FaultLog::default().record(KIND, outcome);
        Ok(decoded.map_err(io::Error::other)?.message)
    };
    timeout(SNAPSHOT_TIMEOUT, reading).await?
}
