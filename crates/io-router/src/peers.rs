//! The event loop that owns the peer core, and this router's links to other routers.

mod answer;
mod handle;

use std::{collections::BTreeMap, net::SocketAddr, time::SystemTime};

use base_settings::RouterSettings;
use bytes::Bytes;
use core_peers::{
    FrameItem, GossipEntry, LinkKey, PeerConfig, PeerCore, PeerEffect, PeerEvent, PeerFrame,
    SyncReply, SyncRequest,
};
use core_router::Event;
use error_stack::{Report, ResultExt};
use io_wire::{
    PeerCall, PeerCredentials, PeerLink, PeerReply, TrafficCounter, TrafficKind, WireEndpoint,
    WireError, decode_message, encode_message,
};
use state_membership::MemberRow;
use tokio::sync::{mpsc, watch};

pub(crate) use self::handle::PeerHandle;
use self::{
    answer::serve_link,
    handle::{CALL_TIMEOUT, PeerInput},
};
use io_clock::MonotonicClock;

use crate::{handle::LoopHandle, run::RunError};

/// The peer core, its endpoint and the open links, which one task drives.
pub(crate) struct PeerLoop {
    core: PeerCore,
    clock: MonotonicClock,
    wire: WireEndpoint,
    router: LoopHandle,
    handle: PeerHandle,
    links: BTreeMap<LinkKey, PeerLink>,
    next_link: u64,
    watching: watch::Sender<bool>,
}

impl PeerLoop {
    /// Binds the peer address and spawns the loop.
    ///
    /// # Errors
    ///
    /// Fails when the keys are unusable or the address cannot be bound.
    pub(crate) fn start(
        settings: &RouterSettings,
        clock: MonotonicClock,
        router: LoopHandle,
    ) -> Result<PeerHandle, Report<RunError>> {
        let tls = peer_credentials(settings);
        let (wire, accepted) =
            WireEndpoint::bind(settings.peers.listen, &tls).change_context(RunError)?;
        let (watching, watching_receiver) = watch::channel(true);
        let (handle, inputs) = PeerHandle::new(wire.traffic().clone(), watching_receiver);
        let peers = Self {
            core: PeerCore::new(clock.now(), peer_config(settings)),
            clock,
            wire,
            router,
            handle: handle.clone(),
            links: BTreeMap::new(),
            next_link: 0,
            watching,
        };
        tokio::task::spawn_local(accept_links(accepted, handle.clone()));
        tokio::task::spawn_local(peers.run(inputs));
        Ok(handle)
    }

    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<PeerInput>) {
        loop {
            let timer = tokio::time::sleep_until(self.clock.instant(self.core.next_deadline()));
            let input = tokio::select! {
                input = inputs.recv() => input,
                () = timer => {
                    let sent = self.wire.traffic().report().sent_bytes;
                    self.on_event(PeerEvent::SentBytesCounted(sent));
                    self.on_event(PeerEvent::TimerFired);
                    continue;
                }
            };
            match input {
                None => return,
                Some(PeerInput::Event(event)) => {
                    // A link that the peer closed would be found instead of a later one to the same host.
                    if let PeerEvent::LinkClosed(key) = &event {
                        self.links.remove(key);
                    }
                    self.on_event(event);
                }
                Some(PeerInput::Query(query)) => query(&self.core),
                Some(PeerInput::LinkOpened(link, connected_to)) => {
                    self.on_link_opened(link, connected_to)
                }
                Some(PeerInput::FindLink(host, sender)) => {
                    let link = self.links.values().find(|link| *link.host() == host);
                    drop(sender.send(link.cloned()));
                }
                Some(PeerInput::Stop(done)) => {
                    self.on_event(PeerEvent::StopRequested);
                    self.wire.close().await;
                    let _ = done.send(());
                    return;
                }
            }
        }
    }

    fn on_event(&mut self, event: PeerEvent) {
        for effect in self.core.on_event(self.clock.now(), event) {
            self.run_effect(effect);
        }
    }

    fn on_link_opened(&mut self, link: PeerLink, connected_to: Option<SocketAddr>) {
        self.next_link += 1;
        let key = LinkKey(self.next_link);
        let host = link.host().clone();
        self.links.insert(key, link.clone());
        let (handle, router) = (self.handle.clone(), self.router.clone());
        tokio::task::spawn_local(serve_link(key, link, handle, router));
        self.on_event(PeerEvent::LinkOpened(key, host, connected_to));
    }

    fn run_effect(&mut self, effect: PeerEffect) {
        match effect {
            PeerEffect::Connect(address) => {
                tokio::task::spawn_local(connect(self.wire.clone(), address, self.handle.clone()));
            }
            PeerEffect::Close(key) => {
                if let Some(link) = self.links.remove(&key) {
                    link.close();
                }
            }
            PeerEffect::Send(key, frame) => self.send(key, &frame),
            PeerEffect::RequestSync(key, request) => {
                let Some(link) = self.links.get(&key).cloned() else { return };
                tokio::task::spawn_local(sync_with_peer(key, link, request, self.handle.clone()));
            }
            PeerEffect::RowAdopted(change) => self.router.post(Event::RowReceived(change)),
            PeerEffect::AllRowsReceived => self.router.post(Event::TablesComplete),
            PeerEffect::HostsChanged(hosts) => self.router.post(Event::HostsListed(hosts)),
            PeerEffect::NoticeReceived(notice) => self.router.post(Event::NoticeReceived(notice)),
            PeerEffect::TrustedUntil(until) => self.router.post(Event::TrustedUntil(until)),
            PeerEffect::WatchChanged(watching) => drop(self.watching.send_replace(watching)),
            PeerEffect::Log(sentence) => log::info!("{sentence}"),
        }
    }

    /// Ignores send errors, because `serve_link` reports a closed link.
    fn send(&self, key: LinkKey, frame: &PeerFrame) {
        let Some(link) = self.links.get(&key).cloned() else { return };
        let Ok(bytes) = encode_message(frame) else {
            return log::error!("peer frame exceeds the message size limit, not sent");
        };
        count_frame(self.wire.traffic(), frame, bytes.len());
        tokio::task::spawn_local(async move { drop(link.send(Bytes::from(bytes)).await) });
    }
}

async fn accept_links(mut accepted: mpsc::Receiver<PeerLink>, handle: PeerHandle) {
    while let Some(link) = accepted.recv().await {
        handle.send(PeerInput::LinkOpened(link, None));
    }
}

async fn connect(wire: WireEndpoint, address: SocketAddr, handle: PeerHandle) {
    match wire.connect(address).await {
        Ok(link) => handle.send(PeerInput::LinkOpened(link, Some(address))),
        Err(report) => {
            log::debug!("cannot connect to peer {address}: {report:?}");
            handle.post(PeerEvent::ConnectFailed(address));
        }
    }
}

async fn sync_with_peer(key: LinkKey, link: PeerLink, request: SyncRequest, handle: PeerHandle) {
    match exchange_sync(&link, &request).await {
        Ok(reply) => handle.post(PeerEvent::SyncAnswered(key, reply)),
        Err(report) => {
            log::debug!("sync with peer {} failed: {report:?}", link.host());
            handle.post(PeerEvent::SyncFailed(key));
        }
    }
}

async fn exchange_sync(
    link: &PeerLink,
    request: &SyncRequest,
) -> Result<SyncReply, Report<WireError>> {
    let call = PeerCall::Sync(encode_message(request)?);
    match link.call(&call, CALL_TIMEOUT).await? {
        PeerReply::Synced(bytes) => decode_message(&bytes),
        _ => Err(Report::new(WireError::Malformed)),
    }
}

/// Counts the size of each item of a frame by its kind; the remaining bytes are the heartbeat.
fn count_frame(traffic: &TrafficCounter, frame: &PeerFrame, bytes: usize) {
    let mut remaining = bytes;
    for item in &frame.items {
        let kind = match item {
            FrameItem::Suspicion(_) | FrameItem::Entry(GossipEntry::Member(_)) => {
                TrafficKind::Member
            }
            FrameItem::Entry(GossipEntry::Row(_)) => TrafficKind::Row,
            FrameItem::Entry(GossipEntry::Host(_)) => TrafficKind::Host,
            FrameItem::Notice(_) => TrafficKind::Notice,
        };
        let size = core_peers::item_bytes(item).min(remaining);
        traffic.record_payload(kind, size);
        remaining -= size;
    }
    traffic.record_payload(TrafficKind::Heartbeat, remaining);
}

fn peer_credentials(settings: &RouterSettings) -> PeerCredentials {
    let tls = &settings.peers.tls;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned().into_boxed_str();
    PeerCredentials {
        ca: text(&tls.ca),
        certificate: text(&tls.certificate),
        key: text(tls.key.reveal()),
    }
}

fn peer_config(settings: &RouterSettings) -> PeerConfig {
    let row = MemberRow {
        name: settings.host.clone(),
        failure_domain: settings.failure_domain.clone(),
        peer_address: settings.peers.listen,
        caller_address: settings.caller_listen.to_string().into(),
    };
    let bytes = settings.peers.control_bytes_per_second;
    PeerConfig {
        row,
        seed_addresses: settings.peers.seeds.clone(),
        incarnation: initial_incarnation(),
        bytes_per_second: u32::try_from(bytes).unwrap_or(u32::MAX),
    }
}

/// Wall-clock time as the initial incarnation. Correctness does not depend on the clock: a router
/// that starts with a lower incarnation than its peers know raises it when a peer reports theirs.
fn initial_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_millis()).unwrap_or(1))
}
