//! Heartbeats between routers, sent as UDP datagrams.

use std::{net::SocketAddr, time::Duration};

use core_forward::{ContentChange, PeerHeartbeat, heartbeat_interval};
use tokio::{net::UdpSocket, time::Instant};

use crate::ForwardState;

/// Divisor of the interval after a wakeup (a new attempt or fetched segments).
const URGENT_DIVISOR: u32 = 4;

/// Size of the receive buffer; a longer heartbeat would be cut off and fail to decode.
const DATAGRAM_MAX: usize = 8_192;

/// Sends this router's heartbeats and receives those of its peers until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn exchange_heartbeats(state: ForwardState, address: SocketAddr) -> std::io::Result<()> {
    let socket = UdpSocket::bind(address).await?;
    let mut datagram = vec![0; DATAGRAM_MAX];
    let mut schedule = HeartbeatSchedule {
        last_sent_at: Instant::now(),
        interval: heartbeat_interval(0),
        urgent: false,
    };
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => match received {
                Ok((length, _)) => receive_heartbeat(&state, &datagram[..length]),
                Err(error) => {
                    log::debug!(error = error.to_string().as_str(); "receiving a heartbeat failed");
                }
            },
            () = state.heartbeat_wakeup().notified(), if !schedule.urgent => {
                schedule.urgent = state.with_core(|core, now| core.has_urgent_news(now));
            }
            () = tokio::time::sleep_until(schedule.next_at()) => {
                let peer_count = send_heartbeat(&state, &socket).await;
                let interval = heartbeat_interval(peer_count as u32);
                schedule =
                    HeartbeatSchedule { last_sent_at: Instant::now(), interval, urgent: false };
            }
        }
    }
}

/// Schedule of the next heartbeat.
#[derive(Debug, Clone, Copy)]
struct HeartbeatSchedule {
    last_sent_at: Instant,
    interval: Duration,
    urgent: bool,
}

impl HeartbeatSchedule {
    fn next_at(&self) -> Instant {
        let interval = if self.urgent { self.interval / URGENT_DIVISOR } else { self.interval };
        self.last_sent_at + interval
    }
}

fn receive_heartbeat(state: &ForwardState, datagram: &[u8]) {
    match postcard::from_bytes::<PeerHeartbeat>(datagram) {
        Ok(heartbeat) => {
            let has_origins = !heartbeat.stream_origins.is_empty();
            let (leaving, changed) = state.with_core(|core, now| {
                core.on_heartbeat(now, heartbeat);
                (core.take_leaving_heard(), core.take_reported_changes())
            });
            for target in changed {
                log::info!(target = target.as_str(); "change of a target reported by another router");
            }
            for target in leaving {
                log::info!(target = target.as_str(); "target announced to another router that it leaves");
            }
            state.wake_waiting();
            if has_origins {
                state.notify_origins();
            }
        }
        Err(error) => log::debug!(error = error.to_string().as_str(); "malformed heartbeat"),
    }
}

fn log_content_changes(state: &ForwardState) {
    for change in state.with_core(|core, _| core.take_content_changes()) {
        match change {
            ContentChange::Suspected(key, crashes) => {
                log::info!(
                    content = format!("{:016x}", key.0).as_str(), crashes;
                    "content in flight at several crashes"
                )
            }
            ContentChange::Blocked(key) => {
                log::warn!(content = format!("{:016x}", key.0).as_str(); "content blocked")
            }
            ContentChange::TrialStarted(key) => {
                log::info!(
                    content = format!("{:016x}", key.0).as_str();
                    "blocked content sent as a trial"
                )
            }
            ContentChange::Lifted(key) => {
                log::info!(content = format!("{:016x}", key.0).as_str(); "content block lifted")
            }
        }
    }
}

/// Sends one heartbeat to every peer and returns the number of peers.
async fn send_heartbeat(state: &ForwardState, socket: &UdpSocket) -> usize {
    let (heartbeat, addresses) =
        state.with_core(|core, now| (core.next_heartbeat(now), core.heartbeat_addresses()));
    log_content_changes(state);
    let datagram = match postcard::to_stdvec(&heartbeat) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "encoding a heartbeat failed");
            return addresses.len();
        }
    };
    for address in &addresses {
        // Not retried: the next heartbeat reports the load again, but the segment holders and
        // outcomes of this one are lost to this peer.
        if let Err(error) = socket.send_to(&datagram, address).await {
            log::debug!(error = error.to_string().as_str(); "sending a heartbeat failed");
        }
    }
    addresses.len()
}
