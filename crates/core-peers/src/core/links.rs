//! Links: dialling, heartbeats, and what goes into frames.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use base_types::{HostName, PeerNotice, TimePoint, key_types};
use state_membership::{MemberKey, MemberRecord, MemberState, Overlay, Suspicion, table_watchers};

use crate::{
    FrameItem, Heartbeat, LinkKey, PeerEffect, PeerFrame, SpreadEntry,
    budget::Urgency,
    core::PeerCore,
    frame::item_bytes,
    notices::{ShareKey, ShareKind},
};

/// Time between frames on an idle link.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Silence after which this router no longer counts as hearing a peer at all.
const DEAF_AFTER: Duration = Duration::from_secs(2);
/// Age at which a link may be replaced by another to the same host.
const STALE_LINK: Duration = Duration::from_millis(600);
/// Time for which a link that is not wanted is kept, as others may still see it as wanted.
const UNWANTED_KEEP: Duration = Duration::from_secs(15);
/// Time after which a neighbour that should have dialled is dialled, as it may not know of it.
const DIAL_FOR_OTHER: Duration = Duration::from_millis(1_500);
/// Time between dials to anyone while few neighbours are heard.
const LONELY_EVERY: Duration = Duration::from_millis(500);
const LONELY_DIALS: usize = 2;
const DIAL_WAIT_MIN: Duration = Duration::from_millis(500);
const DIAL_WAIT_MAX: Duration = Duration::from_secs(8);
/// Time between dials to members that are taken to have failed.
pub(super) const PROBE_EVERY: Duration = Duration::from_secs(10);
const LINKS_MAX: usize = 48;
/// Bytes of items in one frame, so that it fits one datagram.
const FRAME_BYTES: usize = 1_000;
/// Bytes that a datagram costs beside its items: IP, UDP and QUIC headers, heartbeat.
const FRAME_COST: usize = 75;
const FRAMES_A_FLUSH: usize = 8;
const SHARES_QUEUED: usize = 64;

/// One open link.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) member: MemberKey,
    pub(super) heard: TimePoint,
    pub(super) differs_since: Option<TimePoint>,
    pub(super) is_asking: bool,
    pub(super) ask_at: TimePoint,
    pub(super) entries: BTreeSet<u64>,
    pub(super) told_dead_at: TimePoint,
    dialled: Option<SocketAddr>,
    sent: TimePoint,
    unwanted_since: Option<TimePoint>,
    suspicions: Vec<Suspicion>,
    notices: Vec<PeerNotice>,
    shares: VecDeque<ShareKey>,
}

key_types! {
    /// When an address may be dialled again.
    pub(super) struct DialState {
        is_pending: bool,
        retry_at: TimePoint,
        wait_ms: u64,
    }
}

impl PeerCore {
    pub(super) fn on_open(
        &mut self,
        now: TimePoint,
        key: LinkKey,
        host: &HostName,
        dialled: Option<SocketAddr>,
    ) {
        if let Some(address) = dialled {
            self.dials.remove(&address);
        }
        let member = MemberKey::for_host(host);
        if member == self.own_key || self.links.len() >= LINKS_MAX {
            return self.effects.push(PeerEffect::Close(key));
        }
        if !self.replace_link(now, member, dialled.is_some()) {
            return self.effects.push(PeerEffect::Close(key));
        }
        self.unlinked_since.remove(&member);
        self.trust(now);
        let entries = [self.own_key, member].map(SpreadEntry::member_key);
        let link = LinkState {
            member,
            heard: now,
            differs_since: None,
            is_asking: false,
            ask_at: now,
            entries: BTreeSet::from(entries),
            told_dead_at: now,
            dialled,
            sent: TimePoint(0),
            unwanted_since: None,
            suspicions: Vec::new(),
            notices: Vec::new(),
            shares: VecDeque::new(),
        };
        self.links.insert(key, link);
        self.is_urgent = true;
    }

    pub(super) fn on_closed(&mut self, now: TimePoint, key: LinkKey) {
        let Some(link) = self.links.remove(&key) else { return };
        if self.overlay.has_link(self.own_key, link.member) {
            self.unlinked_since.insert(link.member, now);
        }
    }

    pub(super) fn on_dial_failed(&mut self, now: TimePoint, address: SocketAddr) {
        let Some(dial) = self.dials.get_mut(&address) else { return };
        dial.is_pending = false;
        dial.retry_at = now.after(Duration::from_millis(dial.wait_ms));
        dial.wait_ms = (dial.wait_ms * 2).min(DIAL_WAIT_MAX.as_millis() as u64);
    }

    pub(super) fn on_frame(&mut self, now: TimePoint, key: LinkKey, frame: PeerFrame) {
        let Some(link) = self.links.get_mut(&key) else { return };
        link.heard = now;
        let member = link.member;
        self.trust(now);
        for item in frame.items {
            match item {
                FrameItem::Accusation(suspicion) => self.on_suspicion(now, suspicion, Some(key)),
                FrameItem::Entry(entry) => drop(self.adopt(now, entry, Some(key))),
                FrameItem::Notice(notice) => self.on_notice(notice, Some(key)),
            }
        }
        self.compare_digests(now, key, frame.heartbeat);
        self.tell_dead(now, key, member);
    }

    /// Whether any peer was heard of late.
    pub(super) fn hears_any(&self, now: TimePoint, within: Duration) -> bool {
        self.links.values().any(|link| now.since(link.heard) < within)
    }

    /// Link to a member, if one is open.
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
        self.assigned = table_watchers(&self.members).contains(&self.own_key);
    }

    pub(super) fn refresh_watch(&mut self, now: TimePoint) {
        let watches = self.assigned || !self.hears_any(now, DEAF_AFTER);
        if watches == self.watches {
            return;
        }
        self.watches = watches;
        self.polled = None;
        self.effects.push(PeerEffect::WatchChanged(watches));
    }

    pub(super) fn dial_wanted(&mut self, now: TimePoint) {
        let dialled: BTreeSet<MemberKey> = self.overlay.outbound(self.own_key).collect();
        let neighbors: Vec<MemberKey> = self.overlay.neighbors(self.own_key).collect();
        for member in neighbors {
            if self.link_of(member).is_some() {
                continue;
            }
            let since = *self.unlinked_since.entry(member).or_insert(now);
            let is_wanted = dialled.contains(&member) || now.since(since) > DIAL_FOR_OTHER;
            let Some(record) = self.members.get(member).filter(|_| is_wanted) else { continue };
            self.dial(now, record.row.peer);
        }
        if self.lonely_at.passed(now) && self.hears_few(now) {
            self.lonely_at = now.after(LONELY_EVERY);
            self.dial_anyone(now);
        }
        if self.probe_at.passed(now) {
            self.probe_at = now.after(PROBE_EVERY);
            self.probe(now);
        }
    }

    /// Closes own links to members that are no neighbours, after a while; the other side closes
    /// those it dialled.
    pub(super) fn close_unwanted(&mut self, now: TimePoint) {
        let mut unwanted = Vec::new();
        for (key, link) in &mut self.links {
            if self.overlay.has_link(self.own_key, link.member) {
                link.unwanted_since = None;
                continue;
            }
            let since = *link.unwanted_since.get_or_insert(now);
            if link.dialled.is_some() && now.since(since) > UNWANTED_KEEP {
                unwanted.push(*key);
            }
        }
        for key in unwanted {
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

    /// Sends what cannot wait for the next tick.
    pub(super) fn flush_urgent(&mut self, now: TimePoint) {
        let keys: Vec<LinkKey> = self.links.keys().copied().collect();
        for key in keys {
            self.flush(now, key, false);
        }
    }

    /// Queues an entry for all links but the one that it came from.
    pub(super) fn queue_entry(&mut self, entry: u64, from: Option<LinkKey>) {
        for (key, link) in &mut self.links {
            if Some(*key) == from {
                link.entries.remove(&entry);
            } else {
                link.entries.insert(entry);
            }
        }
    }

    pub(super) fn queue_suspicion(&mut self, suspicion: Suspicion, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            link.suspicions.push(suspicion);
        }
    }

    pub(super) fn queue_notice(&mut self, notice: &PeerNotice, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            link.notices.push(notice.clone());
        }
    }

    pub(super) fn queue_share(&mut self, share: &ShareKey, from: Option<LinkKey>) {
        for link in self.other_links(from) {
            if link.shares.len() < SHARES_QUEUED && !link.shares.contains(share) {
                link.shares.push_back(share.clone());
            }
        }
    }

    fn other_links(&mut self, from: Option<LinkKey>) -> impl Iterator<Item = &mut LinkState> {
        let links = self.links.iter_mut();
        links.filter(move |(key, _)| Some(**key) != from).map(|(_, link)| link)
    }

    /// Makes room for a new link to a member; returns whether the new one is to be kept. Both
    /// sides keep the one that the lower key dialled, unless the old one is silent.
    fn replace_link(&mut self, now: TimePoint, member: MemberKey, is_dialled: bool) -> bool {
        let old = self.links.iter().find(|(_, link)| link.member == member);
        let Some((key, link)) = old.map(|(key, link)| (*key, link)) else { return true };
        let keeps_dialled = self.own_key < member;
        let was_dialled = link.dialled.is_some();
        let is_stale = now.since(link.heard) > STALE_LINK;
        if !is_stale && was_dialled != is_dialled && is_dialled != keeps_dialled {
            return false;
        }
        self.links.remove(&key);
        self.effects.push(PeerEffect::Close(key));
        true
    }

    fn dial(&mut self, now: TimePoint, address: SocketAddr) -> bool {
        let fresh = DialState {
            is_pending: false,
            retry_at: now,
            wait_ms: DIAL_WAIT_MIN.as_millis() as u64,
        };
        let dial = self.dials.entry(address).or_insert(fresh);
        if dial.is_pending || !dial.retry_at.passed(now) {
            return false;
        }
        dial.is_pending = true;
        self.effects.push(PeerEffect::Dial(address));
        true
    }

    /// Whether less than half of the neighbours are heard.
    fn hears_few(&self, now: TimePoint) -> bool {
        let neighbors = self.overlay.neighbors(self.own_key).count();
        let heard = self.links.values().filter(|link| now.since(link.heard) < DEAF_AFTER).count();
        heard == 0 || heard * 2 < neighbors
    }

    /// Looks for company when few neighbours are heard: a failure domain may be cut off, and the
    /// neighbours lie mostly in others, so members of the own domain come first, then seeds.
    fn dial_anyone(&mut self, now: TimePoint) {
        let near = |record: &MemberRecord| {
            record.row.failure_domain == self.own.row.failure_domain
                && record.row.name != self.own.row.name
        };
        let known = self.members.iter().filter(|(_, record)| near(record));
        let mut addresses: Vec<SocketAddr> = known.map(|(_, record)| record.row.peer).collect();
        addresses.extend(&self.seeds);
        for _ in 0..LONELY_DIALS.min(addresses.len()) {
            self.next_seed += 1;
            self.dial(now, addresses[self.next_seed % addresses.len()]);
        }
    }

    /// Dials one member that is taken to have failed, as a partition may have healed.
    fn probe(&mut self, now: TimePoint) {
        let lost: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, record)| matches!(record.state, MemberState::Failed | MemberState::Listed))
            .filter(|(key, record)| {
                self.is_listed(&record.row.name) && self.link_of(*key).is_none()
            })
            .map(|(_, record)| record.row.peer)
            .collect();
        if lost.is_empty() {
            return;
        }
        self.next_probe += 1;
        self.dial(now, lost[self.next_probe % lost.len()]);
    }

    fn flush(&mut self, now: TimePoint, key: LinkKey, with_rest: bool) {
        for _ in 0..FRAMES_A_FLUSH {
            let Some(link) = self.links.get(&key) else { return };
            let is_due = with_rest && now.since(link.sent) >= HEARTBEAT;
            let mut items = self.urgent_items(key);
            if with_rest {
                self.add_entries(key, &mut items);
            }
            if items.is_empty() && !is_due {
                return;
            }
            if with_rest {
                self.add_shares(key, &mut items);
            }
            self.send(now, key, items);
        }
    }

    fn send(&mut self, now: TimePoint, key: LinkKey, items: Vec<FrameItem>) {
        self.budget.spend(items.iter().map(item_bytes).sum::<usize>() + FRAME_COST);
        let heartbeat = Heartbeat {
            complete: self.complete,
            row_digest: self.store.first_group_digest(),
            other_digest: self.store.second_group_digest(),
        };
        if let Some(link) = self.links.get_mut(&key) {
            link.sent = now;
        }
        self.effects.push(PeerEffect::Send(key, PeerFrame { heartbeat, items }));
    }

    /// Accusations, suspects and members, which are sent whatever the budget says.
    fn urgent_items(&mut self, key: LinkKey) -> Vec<FrameItem> {
        let Some(link) = self.links.get_mut(&key) else { return Vec::new() };
        let mut items: Vec<FrameItem> = Vec::new();
        let suspicions = link.suspicions.len().min(FRAME_BYTES / 40);
        items.extend(link.suspicions.drain(..suspicions).map(FrameItem::Accusation));
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        while bytes < FRAME_BYTES
            && let Some(notice) = link.notices.pop()
        {
            let item = crate::NoticeItem { incarnation: 0, hops: 0, notice };
            let item = FrameItem::Notice(item);
            bytes += item_bytes(&item);
            items.push(item);
        }
        let is_member =
            |entry: &&u64| matches!(self.store.get(**entry), Some(SpreadEntry::Member(_)));
        let members: Vec<u64> = link.entries.iter().filter(is_member).copied().collect();
        for entry in members {
            if bytes >= FRAME_BYTES {
                break;
            }
            link.entries.remove(&entry);
            let Some(entry) = self.store.get(entry) else { continue };
            let item = FrameItem::Entry(entry.clone());
            bytes += item_bytes(&item);
            items.push(item);
        }
        items
    }

    fn add_entries(&mut self, key: LinkKey, items: &mut Vec<FrameItem>) {
        let Some(link) = self.links.get_mut(&key) else { return };
        if link.entries.is_empty() {
            return;
        }
        if !self.budget.allows(Urgency::Rows) {
            self.shed += 1;
            return;
        }
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        while bytes < FRAME_BYTES
            && let Some(entry) = link.entries.pop_first()
        {
            let Some(entry) = self.store.get(entry) else { continue };
            let item = FrameItem::Entry(entry.clone());
            bytes += item_bytes(&item);
            items.push(item);
        }
    }

    fn add_shares(&mut self, key: LinkKey, items: &mut Vec<FrameItem>) {
        let Some(link) = self.links.get_mut(&key) else { return };
        let mut bytes: usize = items.iter().map(item_bytes).sum();
        let mut rest = VecDeque::new();
        while let Some(share) = link.shares.pop_front() {
            let urgency = match share.kind {
                ShareKind::Load => Urgency::Load,
                ShareKind::Accounts => Urgency::Accounts,
            };
            if bytes >= FRAME_BYTES || !self.budget.allows(urgency) {
                rest.push_back(share);
                continue;
            }
            let Some(item) = self.board.share(&share) else { continue };
            let item = FrameItem::Notice(item.clone());
            bytes += item_bytes(&item);
            self.budget.spend(item_bytes(&item));
            items.push(item);
        }
        self.shed += u64::from(!rest.is_empty());
        link.shares = rest;
    }
}
