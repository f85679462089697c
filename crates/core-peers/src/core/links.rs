//! Links to peers: connecting, closing, heartbeats, and filling of frames.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use base_types::{HostName, PeerNotice, TimePoint, key_types};
use state_membership::{
    MemberKey, MemberRecord, MemberState, Overlay, Suspicion, platform_watchers,
};

use crate::{
    FrameItem, GossipEntry, Heartbeat, LinkKey, PeerEffect, PeerFrame,
    budget::TrafficPriority,
    core::PeerCore,
    frame::item_bytes,
    notices::{ShareKey, ShareKind},
};

/// Time between frames on an idle link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence of a link after which its peer no longer counts as in contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Silence of a link after which any new link to the same host replaces it.
const STALE_LINK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a link outside the overlay is kept, as the peer's overlay may still include it.
const UNWANTED_LINK_GRACE: Duration = Duration::from_secs(15);
/// Time after which this router connects to a neighbor that should have connected itself, as the
/// neighbor may not know this router yet.
const CONNECT_FOR_PEER_DELAY: Duration = Duration::from_millis(1_500);
/// Time between attempts to connect to any router while too few neighbors are in contact.
const FALLBACK_CONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// Addresses that one fallback attempt tries.
const FALLBACK_CONNECTS: usize = 2;
const CONNECT_BACKOFF_MIN: Duration = Duration::from_millis(500);
const CONNECT_BACKOFF_MAX: Duration = Duration::from_secs(8);
/// Time between attempts to connect to a listed member that failed or that never sent a frame.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(10);
const LINKS_MAX: usize = 48;
/// Bytes of items after which a frame takes no more, so that it fits one datagram.
const FRAME_BYTES_MAX: usize = 1_000;
/// Bytes of a datagram besides the items: IP, UDP and QUIC headers, and the heartbeat.
const FRAME_OVERHEAD_BYTES: usize = 75;
const FRAMES_PER_FLUSH_MAX: usize = 8;
const QUEUED_SHARES_MAX: usize = 64;

/// One open link, and what is queued to be sent on it.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) member: MemberKey,
    pub(super) last_received_at: TimePoint,
    pub(super) digests_differ_since: Option<TimePoint>,
    pub(super) is_sync_in_flight: bool,
    pub(super) next_sync_at: TimePoint,
    pub(super) queued_entries: BTreeSet<u64>,
    pub(super) down_record_queued_at: TimePoint,
    outbound_address: Option<SocketAddr>,
    last_sent_at: TimePoint,
    unwanted_since: Option<TimePoint>,
    queued_suspicions: Vec<Suspicion>,
    queued_notices: Vec<PeerNotice>,
    queued_shares: VecDeque<ShareKey>,
}

key_types! {
    /// Pending connect to an address, and when it may be retried.
    pub(super) struct ConnectState {
        is_pending: bool,
        retry_at: TimePoint,
        backoff_ms: u64,
    }
}

impl PeerCore {
    pub(super) fn on_link_opened(
        &mut self,
        now: TimePoint,
        key: LinkKey,
        host: &HostName,
        outbound_address: Option<SocketAddr>,
    ) {
        if let Some(address) = outbound_address {
            self.connects.remove(&address);
        }
        let member = MemberKey::for_host(host);
        if member == self.own_key || self.links.len() >= LINKS_MAX {
            return self.effects.push(PeerEffect::Close(key));
        }
        if !self.replace_link(now, member, outbound_address.is_some()) {
            return self.effects.push(PeerEffect::Close(key));
        }
        self.unlinked_since.remove(&member);
        self.extend_trust(now);
        let initial_entries = [self.own_key, member].map(GossipEntry::member_key);
        let link = LinkState {
            member,
            last_received_at: now,
            digests_differ_since: None,
            is_sync_in_flight: false,
            next_sync_at: now,
            queued_entries: BTreeSet::from(initial_entries),
            down_record_queued_at: now,
            outbound_address,
            last_sent_at: TimePoint(0),
            unwanted_since: None,
            queued_suspicions: Vec::new(),
            queued_notices: Vec::new(),
            queued_shares: VecDeque::new(),
        };
        self.links.insert(key, link);
        self.has_urgent_items = true;
    }

    pub(super) fn on_link_closed(&mut self, now: TimePoint, key: LinkKey) {
        let Some(link) = self.links.remove(&key) else { return };
        if self.overlay.has_link(self.own_key, link.member) {
            self.unlinked_since.insert(link.member, now);
        }
    }

    pub(super) fn on_connect_failed(&mut self, now: TimePoint, address: SocketAddr) {
        let Some(connect) = self.connects.get_mut(&address) else { return };
        connect.is_pending = false;
        connect.retry_at = now.after(Duration::from_millis(connect.backoff_ms));
        connect.backoff_ms = (connect.backoff_ms * 2).min(CONNECT_BACKOFF_MAX.as_millis() as u64);
    }

    pub(super) fn on_frame(&mut self, now: TimePoint, key: LinkKey, frame: PeerFrame) {
        let Some(link) = self.links.get_mut(&key) else { return };
        link.last_received_at = now;
        let member = link.member;
        self.extend_trust(now);
        for item in frame.items {
            match item {
                FrameItem::Suspicion(suspicion) => self.on_suspicion(now, suspicion, Some(key)),
                FrameItem::Entry(entry) => drop(self.adopt(now, entry, Some(key))),
                FrameItem::Notice(notice) => self.on_notice(notice, Some(key)),
            }
        }
        self.compare_digests(now, key, frame.heartbeat);
        self.queue_down_record(now, key, member);
    }

    /// Whether any peer sent a frame or opened a link within the given time.
    pub(super) fn has_recent_contact(&self, now: TimePoint, within: Duration) -> bool {
        self.links.values().any(|link| now.since(link.last_received_at) < within)
    }

    /// Open link to a member.
    pub(super) fn link_of(&self, member: MemberKey) -> Option<&LinkState> {
        self.links.values().find(|link| link.member == member)
    }

    pub(super) fn refresh_overlay(&mut self) {
        if !self.overlay_stale {
            return;
        }
        self.overlay_stale = false;
        self.overlay = Overlay::build(&self.members);
        let (overlay, own) = (&self.overlay, self.own_key);
        self.unlinked_since.retain(|member, _| overlay.has_link(own, *member));
        self.is_assigned_watcher = platform_watchers(&self.members).contains(&self.own_key);
    }

    /// Watches the platform if this router is an assigned watcher, or if no peer is in contact that
    /// could pass changes on.
    pub(super) fn refresh_watch_role(&mut self, now: TimePoint) {
        let is_watching =
            self.is_assigned_watcher || !self.has_recent_contact(now, CONTACT_TIMEOUT);
        if is_watching == self.is_watching {
            return;
        }
        self.is_watching = is_watching;
        self.polled_hosts = None;
        self.effects.push(PeerEffect::WatchChanged(is_watching));
    }

    /// Connects to neighbors without a link. At intervals, also connects to fallback addresses and
    /// probes a failed member.
    pub(super) fn connect_missing(&mut self, now: TimePoint) {
        let outbound: BTreeSet<MemberKey> = self.overlay.outbound(self.own_key).collect();
        let neighbors: Vec<MemberKey> = self.overlay.neighbors(self.own_key).collect();
        for member in neighbors {
            if self.link_of(member).is_some() {
                continue;
            }
            let unlinked_at = *self.unlinked_since.entry(member).or_insert(now);
            let is_due =
                outbound.contains(&member) || now.since(unlinked_at) > CONNECT_FOR_PEER_DELAY;
            let Some(record) = self.members.get(member).filter(|_| is_due) else { continue };
            self.connect(now, record.row.peer_address);
        }
        if self.fallback_connect_at.passed(now) && self.lacks_neighbors(now) {
            self.fallback_connect_at = now.after(FALLBACK_CONNECT_INTERVAL);
            self.connect_fallback(now);
        }
        if self.probe_at.passed(now) {
            self.probe_at = now.after(PROBE_INTERVAL);
            self.probe(now);
        }
    }

    /// Closes outbound links to members that stopped being neighbors more than
    /// `UNWANTED_LINK_GRACE` ago. Inbound links are closed by the peer that opened them.
    pub(super) fn close_unwanted(&mut self, now: TimePoint) {
        let mut expired = Vec::new();
        for (key, link) in &mut self.links {
            if self.overlay.has_link(self.own_key, link.member) {
                link.unwanted_since = None;
                continue;
            }
            let unwanted_at = *link.unwanted_since.get_or_insert(now);
            if link.outbound_address.is_some() && now.since(unwanted_at) > UNWANTED_LINK_GRACE {
                expired.push(*key);
            }
        }
        for key in expired {
            self.links.remove(&key);
            self.effects.push(PeerEffect::Close(key));
        }
    }

    pub(super) fn flush_all(&mut self, now: TimePoint) {
        let keys: Vec<LinkKey> = self.links.keys().copied().collect();
        for key in keys {
            self.flush(now, key, true);
        }
    }

    /// Sends the urgent items on all links, without waiting for the next tick.
    pub(super) fn flush_urgent(&mut self, now: TimePoint) {
        let keys: Vec<LinkKey> = self.links.keys().copied().collect();
        for key in keys {
            self.flush(now, key, false);
        }
    }

    /// Queues an entry for all links except the one that it came from.
    pub(super) fn queue_entry(&mut self, entry_key: u64, from: Option<LinkKey>) {
        for (key, link) in &mut self.links {
            if Some(*key) == from {
                link.queued_entries.remove(&entry_key);
            } else {
                link.queued_entries.insert(entry_key);
            }
        }
    }

    pub(super) fn queue_suspicion(&mut self, suspicion: Suspicion, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            link.queued_suspicions.push(suspicion);
        }
    }

    pub(super) fn queue_notice(&mut self, notice: &PeerNotice, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            link.queued_notices.push(notice.clone());
        }
    }

    pub(super) fn queue_share(&mut self, share: &ShareKey, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            if link.queued_shares.len() < QUEUED_SHARES_MAX && !link.queued_shares.contains(share) {
                link.queued_shares.push_back(share.clone());
            }
        }
    }

    fn other_links(&mut self, from: Option<LinkKey>) -> impl Iterator<Item = &mut LinkState> {
        let links = self.links.iter_mut();
        links.filter(move |(key, _)| Some(**key) != from).map(|(_, link)| link)
    }

    /// Closes an existing link to a member in favor of a new one; returns whether the new link is
    /// to be kept. Of two links, both sides keep the one that the member with the lower key opened,
    /// unless the existing link is silent. Of two links in the same direction the new one stays.
    fn replace_link(&mut self, now: TimePoint, member: MemberKey, is_outbound: bool) -> bool {
        let existing = self.links.iter().find(|(_, link)| link.member == member);
        let Some((key, link)) = existing.map(|(key, link)| (*key, link)) else { return true };
        let prefers_outbound = self.own_key < member;
        let existing_is_outbound = link.outbound_address.is_some();
        let is_stale = now.since(link.last_received_at) > STALE_LINK_TIMEOUT;
        if !is_stale && existing_is_outbound != is_outbound && is_outbound != prefers_outbound {
            return false;
        }
        self.links.remove(&key);
        self.effects.push(PeerEffect::Close(key));
        true
    }

    /// Starts a connect to an address, unless one is pending or the backoff has not passed; returns
    /// whether it started one.
    fn connect(&mut self, now: TimePoint, address: SocketAddr) -> bool {
        let initial = ConnectState {
            is_pending: false,
            retry_at: now,
            backoff_ms: CONNECT_BACKOFF_MIN.as_millis() as u64,
        };
        let connect = self.connects.entry(address).or_insert(initial);
        if connect.is_pending || !connect.retry_at.passed(now) {
            return false;
        }
        connect.is_pending = true;
        self.effects.push(PeerEffect::Connect(address));
        true
    }

    /// Whether the links in contact are none, or fewer than half as many as there are neighbors.
    fn lacks_neighbors(&self, now: TimePoint) -> bool {
        let neighbor_count = self.overlay.neighbors(self.own_key).count();
        let reachable = self
            .links
            .values()
            .filter(|link| now.since(link.last_received_at) < CONTACT_TIMEOUT)
            .count();
        reachable == 0 || reachable * 2 < neighbor_count
    }

    /// Connects to the next `FALLBACK_CONNECTS` addresses, in turn, of members of the own failure
    /// domain and then seed addresses. The own domain comes first: if it is cut off, most
    /// neighbors, which are in other domains, are unreachable.
    fn connect_fallback(&mut self, now: TimePoint) {
        let is_local = |record: &MemberRecord| {
            record.row.failure_domain == self.own_record.row.failure_domain
                && record.row.name != self.own_record.row.name
        };
        let local_members = self.members.iter().filter(|(_, record)| is_local(record));
        let mut addresses: Vec<SocketAddr> =
            local_members.map(|(_, record)| record.row.peer_address).collect();
        addresses.extend(&self.seed_addresses);
        for _ in 0..FALLBACK_CONNECTS.min(addresses.len()) {
            self.next_fallback += 1;
            self.connect(now, addresses[self.next_fallback % addresses.len()]);
        }
    }

    /// Connects to one listed member that failed or that never sent a frame, as a partition may
    /// have healed.
    fn probe(&mut self, now: TimePoint) {
        let unreachable: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, record)| matches!(record.state, MemberState::Failed | MemberState::Listed))
            .filter(|(key, record)| {
                self.is_listed(&record.row.name) && self.link_of(*key).is_none()
            })
            .map(|(_, record)| record.row.peer_address)
            .collect();
        if unreachable.is_empty() {
            return;
        }
        self.next_probe += 1;
        self.connect(now, unreachable[self.next_probe % unreachable.len()]);
    }

    /// Sends frames on a link as long as items are queued, at most `FRAMES_PER_FLUSH_MAX`. Without
    /// `include_deferred` only urgent items are sent; with it, an empty frame is also sent when a
    /// heartbeat is due. Queued shares are added to frames but alone cause none.
    fn flush(&mut self, now: TimePoint, key: LinkKey, include_deferred: bool) {
        for _ in 0..FRAMES_PER_FLUSH_MAX {
            let Some(link) = self.links.get(&key) else { return };
            let heartbeat_due =
                include_deferred && now.since(link.last_sent_at) >= HEARTBEAT_INTERVAL;
            let mut items = self.take_urgent_items(key);
            if include_deferred {
                self.add_entries(key, &mut items);
            }
            if items.is_empty() && !heartbeat_due {
                return;
            }
            if include_deferred {
                self.add_shares(key, &mut items);
            }
            self.send(now, key, items);
        }
    }

    fn send(&mut self, now: TimePoint, key: LinkKey, items: Vec<FrameItem>) {
        self.budget.spend(items.iter().map(item_bytes).sum::<usize>() + FRAME_OVERHEAD_BYTES);
        let heartbeat = Heartbeat {
            has_all_rows: self.has_all_rows,
            row_digest: self.store.primary_group_digest(),
            member_host_digest: self.store.secondary_group_digest(),
        };
        if let Some(link) = self.links.get_mut(&key) {
            link.last_sent_at = now;
        }
        self.effects.push(PeerEffect::Send(key, PeerFrame { heartbeat, items }));
    }

    /// Takes the queued suspicions, suspect notices and member records. These are sent even if the
    /// budget is exhausted.
    fn take_urgent_items(&mut self, key: LinkKey) -> Vec<FrameItem> {
        let Some(link) = self.links.get_mut(&key) else { return Vec::new() };
        let mut items: Vec<FrameItem> = Vec::new();
        let count = link.queued_suspicions.len().min(FRAME_BYTES_MAX / 40);
        items.extend(link.queued_suspicions.drain(..count).map(FrameItem::Suspicion));
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        while bytes < FRAME_BYTES_MAX
            && let Some(notice) = link.queued_notices.pop()
        {
            let item = crate::NoticeItem { incarnation: 0, hops: 0, notice };
            let item = FrameItem::Notice(item);
            bytes += item_bytes(&item);
            items.push(item);
        }
        let is_member =
            |entry_key: &&u64| matches!(self.store.get(**entry_key), Some(GossipEntry::Member(_)));
        let member_entries: Vec<u64> =
            link.queued_entries.iter().filter(is_member).copied().collect();
        for entry_key in member_entries {
            if bytes >= FRAME_BYTES_MAX {
                break;
            }
            link.queued_entries.remove(&entry_key);
            let Some(entry) = self.store.get(entry_key) else { continue };
            let item = FrameItem::Entry(entry.clone());
            bytes += item_bytes(&item);
            items.push(item);
        }
        items
    }

    /// Adds queued entries of any kind, if the budget allows; otherwise the entries stay queued.
    fn add_entries(&mut self, key: LinkKey, items: &mut Vec<FrameItem>) {
        let Some(link) = self.links.get_mut(&key) else { return };
        if link.queued_entries.is_empty() {
            return;
        }
        if !self.budget.allows(TrafficPriority::Rows) {
            self.shed_count += 1;
            return;
        }
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        while bytes < FRAME_BYTES_MAX
            && let Some(entry_key) = link.queued_entries.pop_first()
        {
            let Some(entry) = self.store.get(entry_key) else { continue };
            let item = FrameItem::Entry(entry.clone());
            bytes += item_bytes(&item);
            items.push(item);
        }
    }

    /// Adds queued shares that fit the frame and the budget; the others stay queued.
    fn add_shares(&mut self, key: LinkKey, items: &mut Vec<FrameItem>) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        let mut deferred = VecDeque::new();
        while let Some(share) = link.queued_shares.pop_front() {
            let priority = match share.kind {
                ShareKind::Load => TrafficPriority::Load,
                ShareKind::Accounts => TrafficPriority::Accounts,
            };
            if bytes >= FRAME_BYTES_MAX || !self.budget.allows(priority) {
                deferred.push_back(share);
                continue;
            }
            let Some(item) = self.notices.share(&share) else { continue };
            let item = FrameItem::Notice(item.clone());
            bytes += item_bytes(&item);
            self.budget.spend(item_bytes(&item));
            items.push(item);
        }
        self.shed_count += u64::from(!deferred.is_empty());
        link.queued_shares = deferred;
    }
}
