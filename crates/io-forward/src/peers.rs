//! Heartbeats between routers, sent as UDP datagrams.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use core_forward::{
    ContentChange, DecodedHeartbeat, HEARTBEAT_BYTES_MAX, PeerKeys, decode_heartbeat, decode_place,
    encode_heartbeat, encode_place, heartbeat_interval, is_place_message,
};
use tokio::{net::UdpSocket, time::Instant};

use crate::{
    ForwardState,
    peer_faults::{FaultLog, MessageOutcome},
};

/// Kind of the messages in metrics and logs.
const KIND: &str = "heartbeat";

const PLACE_KIND: &str = "place";

/// Divisor of the interval after a wakeup (a new attempt or fetched segments).
const URGENT_DIVISOR: u32 = 4;

/// Size of the receive buffer; a longer heartbeat would be cut off.
const DATAGRAM_MAX: usize = HEARTBEAT_BYTES_MAX + 1;

/// Sends this router's heartbeats and receives those of its peers until the process ends; with a key,
/// heartbeats are authenticated.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn exchange_heartbeats(
    state: ForwardState,
    address: SocketAddr,
    keys: Rc<PeerKeys>,
) -> std::io::Result<()> {
    let mut receiver =
        HeartbeatReceiver { state: &state, keys: &keys, faults: FaultLog::default() };
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
                Ok((length, _)) if is_place_message(&datagram[..length]) => {
                    receiver.receive_place(&datagram[..length]);
                    send_place_messages(&state, &socket, &keys).await;
                }
                Ok((length, _)) => receiver.receive(&datagram[..length]),
                Err(error) => {
                    log::debug!(error = error.to_string().as_str(); "receiving a heartbeat failed");
                }
            },
            () = state.place_messages_due().notified() => {
                send_place_messages(&state, &socket, &keys).await;
            }
            () = state.heartbeat_wakeup().notified(), if !schedule.urgent => {
                schedule.urgent = state.with_core(|core, now| core.has_urgent_news(now));
            }
            () = tokio::time::sleep_until(schedule.next_at()) => {
                let peer_count = send_heartbeat(&state, &socket, &keys).await;
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

/// Receives heartbeats; counts and logs those that are dropped.
struct HeartbeatReceiver<'a> {
    state: &'a ForwardState,
    keys: &'a PeerKeys,
    faults: FaultLog,
}

impl HeartbeatReceiver<'_> {
    fn receive(&mut self, datagram: &[u8]) {
        let decoded = decode_heartbeat(datagram, self.keys);
        let mut outcome = MessageOutcome::of(&decoded);
        if let Ok(decoded) = decoded
            && !self.handle(decoded)
        {
            outcome = MessageOutcome::REPLAYED;
        }
        outcome.count(self.state, KIND);
        self.faults.record(KIND, outcome);
    }

    fn receive_place(&mut self, datagram: &[u8]) {
        match decode_place(datagram, self.keys) {
            Ok(message) => {
                let call = self.state.with_core(|core, now| core.on_place_message(now, message));
                call.into_iter().for_each(|call| self.state.wake_call(call));
                self.state.wake_waiting();
            }
            Err(error) => {
                let outcome = MessageOutcome::dropped(error);
                outcome.count(self.state, PLACE_KIND);
                self.faults.record(PLACE_KIND, outcome);
            }
        }
    }

    /// Returns false if the heartbeat repeats an earlier one.
    fn handle(&self, decoded: DecodedHeartbeat) -> bool {
        let has_origins = !decoded.message.stream_origins.is_empty();
        let (is_used, leaving, changed) = self.state.with_core(|core, now| {
            let is_used = core.on_decoded_heartbeat(now, decoded);
            (is_used, core.take_leaving_heard(), core.take_reported_changes())
        });
        self.state.report_evacuations("router");
        for target in changed {
            log::info!(target = target.as_str(); "change of a target reported by another router");
        }
        for target in leaving {
            log::info!(target = target.as_str(); "target announced to another router that it leaves");
        }
        self.state.wake_waiting();
        if has_origins && is_used {
            self.state.notify_origins();
        }
        is_used
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
async fn send_heartbeat(state: &ForwardState, socket: &UdpSocket, keys: &PeerKeys) -> usize {
    let (heartbeat, addresses) =
        state.with_core(|core, now| (core.next_heartbeat(now), core.heartbeat_addresses()));
    log_content_changes(state);
    let encoded = match encode_heartbeat(&heartbeat, keys.current.as_ref()) {
        Ok(encoded) => encoded,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "encoding a heartbeat failed");
            return addresses.len();
        }
    };
    if !encoded.omitted.is_empty() {
        let records = format!("{:?}", encoded.omitted);
        log::debug!(records = records.as_str(); "records left out of a heartbeat");
    }
    for address in &addresses {
        // Not retried: the next heartbeat reports the load again, but the segment holders and
        // outcomes of this one are lost to this peer.
        if let Err(error) = socket.send_to(&encoded.bytes, address).await {
            log::debug!(error = error.to_string().as_str(); "sending a heartbeat failed");
        }
    }
    addresses.len()
}

/// Sends the messages about places at targets that are due. A lost one is not sent again: the call goes on
/// after a moment, and heartbeats end a lease that was not released.
async fn send_place_messages(state: &ForwardState, socket: &UdpSocket, keys: &PeerKeys) {
    for (address, message) in state.with_core(|core, _| core.take_place_messages()) {
        match encode_place(&message, keys.current.as_ref()) {
            Ok(bytes) => {
                if let Err(error) = socket.send_to(&bytes, address).await {
                    log::debug!(error = error.to_string().as_str(); "sending a place message failed");
                }
            }
            Err(error) => {
                log::error!(error = error.to_string().as_str(); "encoding a place message failed");
            }
        }
    }
}
