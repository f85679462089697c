//! State of the peer core, dispatch of events, and the periodic tick.

mod hosts;
mod links;
mod members;
mod notices;
mod rows;
mod sync;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base_types::{HostEntry, HostName, TimePoint, message_types};
use state_membership::{
    MemberKey, MemberRecord, MemberRow, MemberState, MemberTable, Overlay, SuspicionTable,
    rank_entry_routers,
};
use state_spreading::EntryStore;

use crate::{
    GossipEntry, LinkKey, PeerEffect, PeerEvent,
    budget::ByteBudget,
    core::{
        links::{ConnectState, LinkState},
        members::SuspicionBackoff,
    },
    notices::NoticeStore,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Gap between two events that shows that this process was frozen.
const FREEZE_GAP: Duration = Duration::from_millis(800);
/// Time without contact with the platform or a peer after which no new work is accepted.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(7);
/// Least extension of the trusted time that is reported.
const TRUST_UPDATE_STEP: Duration = Duration::from_millis(500);
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Startup configuration of a router's peer core.
#[derive(Debug, Clone)]
pub struct PeerConfig {
    /// Location and addresses of this router.
    pub row: MemberRow,
    /// Peer addresses to connect to while too few neighbors are in contact.
    pub seed_addresses: Vec<SocketAddr>,
    /// First incarnation: wall-clock time in milliseconds, so that a restart usually begins with a
    /// higher one.
    pub incarnation: u64,
    /// Limit of sent control traffic, in bytes per second.
    pub bytes_per_second: u32,
}

message_types! {
    /// Membership and gossip state as the status page shows it.
    pub struct PeerStatus {
        /// All known members, this router included.
        pub members: Vec<MemberRecord>,
        /// Hosts with an open link.
        pub linked_hosts: Vec<HostName>,
        /// Whether this router watches the platform: as an assigned watcher, or because no peer is
        /// in contact.
        pub is_watching: bool,
        /// Whether this router has all rows of the tables.
        pub has_all_rows: bool,
        /// Time until which new work may be accepted.
        pub trusted_until: TimePoint,
        /// Number of times that entries, shares or repairs were put off to stay within the byte
        /// budget.
        pub shed_count: u64,
    }
}

/// Membership, gossip and notices of one router.
#[derive(Debug)]
pub struct PeerCore {
    own_record: MemberRecord,
    own_key: MemberKey,
    seed_addresses: Vec<SocketAddr>,
    next_fallback: usize,
    members: MemberTable,
    down_since: BTreeMap<MemberKey, TimePoint>,
    overlay: Overlay,
    overlay_stale: bool,
    suspicions: SuspicionTable,
    suspicion_backoffs: BTreeMap<MemberKey, SuspicionBackoff>,
    store: EntryStore<GossipEntry>,
    links: BTreeMap<LinkKey, LinkState>,
    connects: BTreeMap<SocketAddr, ConnectState>,
    unlinked_since: BTreeMap<MemberKey, TimePoint>,
    notices: NoticeStore,
    budget: ByteBudget,
    polled_hosts: Option<BTreeMap<HostName, HostEntry>>,
    hosts_changed: bool,
    has_all_rows: bool,
    is_assigned_watcher: bool,
    is_watching: bool,
    last_event_at: TimePoint,
    next_tick_at: TimePoint,
    trusted_until: TimePoint,
    cleanup_at: TimePoint,
    probe_at: TimePoint,
    fallback_connect_at: TimePoint,
    next_probe: usize,
    has_urgent_items: bool,
    shed_count: u64,
    effects: Vec<PeerEffect>,
}

impl PeerCore {
    /// Creates the core of a router that has no contact with any peer yet.
    pub fn new(now: TimePoint, config: PeerConfig) -> Self {
        Self::with_suspicions(now, config, SuspicionTable::default())
    }

    /// As [`Self::new`], with a given suspicion table. Tests pass one with a faulty rule, to prove
    /// that they would catch that fault.
    pub fn with_suspicions(now: TimePoint, config: PeerConfig, suspicions: SuspicionTable) -> Self {
        let own_record = MemberRecord {
            row: config.row,
            incarnation: config.incarnation.max(1),
            state: MemberState::Alive,
        };
        let mut core = Self {
            own_key: own_record.key(),
            own_record: own_record.clone(),
            seed_addresses: config.seed_addresses,
            next_fallback: 0,
            members: MemberTable::default(),
            down_since: BTreeMap::new(),
            overlay: Overlay::default(),
            overlay_stale: true,
            suspicions,
            suspicion_backoffs: BTreeMap::new(),
            store: EntryStore::default(),
            links: BTreeMap::new(),
            connects: BTreeMap::new(),
            unlinked_since: BTreeMap::new(),
            notices: NoticeStore::default(),
            budget: ByteBudget::new(config.bytes_per_second),
            polled_hosts: None,
            hosts_changed: false,
            has_all_rows: false,
            is_assigned_watcher: true,
            is_watching: true,
            last_event_at: now,
            next_tick_at: now,
            trusted_until: now,
            cleanup_at: now.after(CLEANUP_INTERVAL),
            probe_at: now.after(links::PROBE_INTERVAL),
            fallback_connect_at: now,
            next_probe: 0,
            has_urgent_items: false,
            shed_count: 0,
            effects: vec![PeerEffect::WatchChanged(true)],
        };
        core.adopt_own(now, own_record);
        core
    }

    /// Applies an event and returns the effects that the caller must run, in order.
    pub fn on_event(&mut self, now: TimePoint, event: PeerEvent) -> Vec<PeerEffect> {
        self.detect_freeze(now);
        self.budget.refill(now);
        match event {
            PeerEvent::HostsPolled(hosts) => self.on_hosts(now, hosts),
            PeerEvent::TablesListed(listing) => self.on_table_listing(now, listing),
            PeerEvent::RowRead(change) => self.on_row(now, change),
            PeerEvent::PlatformAnswered => self.extend_trust(now),
            PeerEvent::LinkOpened(link, host, address) => {
                self.on_link_opened(now, link, &host, address)
            }
            PeerEvent::LinkClosed(link) => self.on_link_closed(now, link),
            PeerEvent::ConnectFailed(address) => self.on_connect_failed(now, address),
            PeerEvent::FrameReceived(link, frame) => self.on_frame(now, link, frame),
            PeerEvent::SyncAnswered(link, reply) => self.on_sync_reply(now, link, reply),
            PeerEvent::SyncFailed(link) => self.on_sync_failed(link),
            PeerEvent::NoticeIssued(notice) => self.on_own_notice(notice),
            PeerEvent::SentBytesCounted(bytes) => self.budget.reconcile(bytes),
            PeerEvent::DrainStarted => self.announce_state(now, MemberState::Leaving),
            PeerEvent::StopRequested => self.announce_state(now, MemberState::Left),
            PeerEvent::TimerFired => {}
        }
        if self.next_tick_at.passed(now) {
            self.tick(now);
        } else if self.has_urgent_items {
            self.flush_urgent(now);
        }
        self.has_urgent_items = false;
        std::mem::take(&mut self.effects)
    }

    /// Time at which [`PeerEvent::TimerFired`] is due next.
    pub fn next_deadline(&self) -> TimePoint {
        self.next_tick_at
    }

    /// Routers that a caller may use, in the order in which the caller should try them. On one
    /// router, equal `affinity` gives an equal order while membership is unchanged.
    pub fn entry_routers(&self, affinity: u64) -> Vec<&MemberRecord> {
        let accepting =
            self.members.iter().filter(|(key, record)| self.accepts_callers(*key, record));
        rank_entry_routers(
            accepting.map(|(_, record)| record),
            &self.own_record.row.failure_domain,
            affinity,
        )
    }

    /// Current membership and gossip state.
    pub fn status(&self) -> PeerStatus {
        let member = |link: &LinkState| self.members.get(link.member);
        PeerStatus {
            members: self.members.iter().map(|(_, record)| record.clone()).collect(),
            linked_hosts: self
                .links
                .values()
                .filter_map(member)
                .map(|m| m.row.name.clone())
                .collect(),
            is_watching: self.is_watching,
            has_all_rows: self.has_all_rows,
            trusted_until: self.trusted_until,
            shed_count: self.shed_count,
        }
    }

    /// State of a member; `None` when the member is unknown.
    pub fn member_state(&self, name: &HostName) -> Option<MemberState> {
        self.members.get(MemberKey::for_host(name)).map(|record| record.state)
    }

    /// All gossiped entries, in no particular order.
    pub fn gossip_entries(&self) -> impl Iterator<Item = &GossipEntry> {
        self.store.iter()
    }

    fn tick(&mut self, now: TimePoint) {
        self.next_tick_at = now.after(TICK_INTERVAL);
        self.refresh_overlay();
        self.connect_missing(now);
        self.suspect_silent(now);
        self.declare_failed(now);
        self.close_unwanted(now);
        self.refresh_watch_role(now);
        self.flush_all(now);
        self.emit_hosts();
        if self.cleanup_at.passed(now) {
            self.cleanup_at = now.after(CLEANUP_INTERVAL);
            self.remove_down_members(now);
        }
    }

    /// Resets the silence timers of all peers after a freeze of this process: it could not receive
    /// their frames, so their silence is no sign of failure.
    fn detect_freeze(&mut self, now: TimePoint) {
        let event_gap = now.since(self.last_event_at);
        self.last_event_at = now;
        if event_gap < FREEZE_GAP {
            return;
        }
        for link in self.links.values_mut() {
            link.last_received_at = now;
        }
        for unlinked_at in self.unlinked_since.values_mut() {
            *unlinked_at = now;
        }
    }

    /// Extends the time in which new work may be accepted, after contact with the platform or a
    /// peer.
    fn extend_trust(&mut self, now: TimePoint) {
        let until = now.after(ISOLATION_TIMEOUT);
        if until.since(self.trusted_until) >= TRUST_UPDATE_STEP {
            self.trusted_until = until;
            self.effects.push(PeerEffect::TrustedUntil(until));
        }
    }

    fn log(&mut self, message: String) {
        self.effects.push(PeerEffect::Log(message.into()));
    }
}
