//! The state machine itself: its state, its dispatch of events, and its clock.

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
    LinkKey, PeerEffect, PeerEvent, SpreadEntry,
    budget::ByteBudget,
    core::{
        links::{DialState, LinkState},
        members::AccuseBackoff,
    },
    notices::NoticeBoard,
};

const TICK: Duration = Duration::from_millis(50);
/// A gap between ticks that shows that this process was frozen.
const FREEZE: Duration = Duration::from_millis(800);
/// Time after the last word of the platform or a peer at which no new work is taken.
const ISOLATION: Duration = Duration::from_secs(7);
const TRUST_STEP: Duration = Duration::from_millis(500);
const CLEAN_EVERY: Duration = Duration::from_secs(10);

/// What a router knows of itself when it starts.
#[derive(Debug, Clone)]
pub struct PeerPlan {
    /// Where this router is found.
    pub row: MemberRow,
    /// Peer addresses to try while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// First incarnation; wall-clock time in milliseconds, so that a restart mostly starts higher.
    pub incarnation: u64,
    /// Bytes of control traffic that may be sent each second.
    pub bytes_per_second: u32,
}

message_types! {
    /// What a router shows of its membership.
    pub struct PeerStatus {
        /// All members known.
        pub members: Vec<MemberRecord>,
        /// Hosts with an open link.
        pub linked: Vec<HostName>,
        /// Whether this router watches the platform for others.
        pub watches: bool,
        /// Whether all rows of the tables are held.
        pub complete: bool,
        /// Point until which new work may be taken.
        pub trusted_until: TimePoint,
        /// Frames whose least urgent parts were left out to keep to the budget.
        pub shed: u64,
    }
}

/// Membership, spreading and notices of one router.
#[derive(Debug)]
pub struct PeerCore {
    own: MemberRecord,
    own_key: MemberKey,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    members: MemberTable,
    dead_since: BTreeMap<MemberKey, TimePoint>,
    overlay: Overlay,
    overlay_stale: bool,
    suspicions: SuspicionTable,
    backoffs: BTreeMap<MemberKey, AccuseBackoff>,
    store: EntryStore<SpreadEntry>,
    links: BTreeMap<LinkKey, LinkState>,
    dials: BTreeMap<SocketAddr, DialState>,
    unlinked_since: BTreeMap<MemberKey, TimePoint>,
    board: NoticeBoard,
    budget: ByteBudget,
    polled: Option<BTreeMap<HostName, HostEntry>>,
    hosts_changed: bool,
    complete: bool,
    assigned: bool,
    watches: bool,
    ticked: TimePoint,
    next_tick: TimePoint,
    trusted_until: TimePoint,
    clean_at: TimePoint,
    probe_at: TimePoint,
    lonely_at: TimePoint,
    next_probe: usize,
    is_urgent: bool,
    shed: u64,
    effects: Vec<PeerEffect>,
}

impl PeerCore {
    /// A router that has heard nobody yet.
    pub fn new(now: TimePoint, plan: PeerPlan) -> Self {
        Self::with_suspicions(now, plan, SuspicionTable::default())
    }

    /// As [`Self::new`], with another rule for accusations; proofs use a broken one.
    pub fn with_suspicions(now: TimePoint, plan: PeerPlan, suspicions: SuspicionTable) -> Self {
        let own = MemberRecord {
            row: plan.row,
            incarnation: plan.incarnation.max(1),
            state: MemberState::Alive,
        };
        let mut core = Self {
            own_key: own.key(),
            own: own.clone(),
            seeds: plan.seeds,
            next_seed: 0,
            members: MemberTable::default(),
            dead_since: BTreeMap::new(),
            overlay: Overlay::default(),
            overlay_stale: true,
            suspicions,
            backoffs: BTreeMap::new(),
            store: EntryStore::default(),
            links: BTreeMap::new(),
            dials: BTreeMap::new(),
            unlinked_since: BTreeMap::new(),
            board: NoticeBoard::default(),
            budget: ByteBudget::new(plan.bytes_per_second),
            polled: None,
            hosts_changed: false,
            complete: false,
            assigned: true,
            watches: true,
            ticked: now,
            next_tick: now,
            trusted_until: now,
            clean_at: now.after(CLEAN_EVERY),
            probe_at: now.after(links::PROBE_EVERY),
            lonely_at: now,
            next_probe: 0,
            is_urgent: false,
            shed: 0,
            effects: vec![PeerEffect::WatchChanged(true)],
        };
        core.adopt_own(now, own);
        core
    }

    /// Takes an event and returns what is to be done.
    pub fn on_event(&mut self, now: TimePoint, event: PeerEvent) -> Vec<PeerEffect> {
        self.notice_freeze(now);
        self.budget.fill(now);
        match event {
            PeerEvent::HostsPolled(hosts) => self.on_hosts(now, hosts),
            PeerEvent::TablesListed(listing) => self.on_listing(now, listing),
            PeerEvent::RowRead(change) => self.on_row(now, change),
            PeerEvent::PlatformHeard => self.trust(now),
            PeerEvent::LinkOpened(link, host, dialled) => self.on_open(now, link, &host, dialled),
            PeerEvent::LinkClosed(link) => self.on_closed(now, link),
            PeerEvent::DialFailed(address) => self.on_dial_failed(now, address),
            PeerEvent::FrameHeard(link, frame) => self.on_frame(now, link, frame),
            PeerEvent::SyncAnswered(link, reply) => self.on_sync(now, link, reply),
            PeerEvent::SyncFailed(link) => self.on_sync_failed(link),
            PeerEvent::NoticeGiven(notice) => self.on_own_notice(notice),
            PeerEvent::WireSent(bytes) => self.budget.settle(bytes),
            PeerEvent::LeaveAsked => self.leave(now, MemberState::Leaving),
            PeerEvent::GoneAsked => self.leave(now, MemberState::Left),
            PeerEvent::TimerFired => {}
        }
        if self.next_tick.passed(now) {
            self.tick(now);
        } else if self.is_urgent {
            self.flush_urgent(now);
        }
        self.is_urgent = false;
        std::mem::take(&mut self.effects)
    }

    /// The next point at which [`PeerEvent::TimerFired`] is due.
    pub fn next_deadline(&self) -> TimePoint {
        self.next_tick
    }

    /// Members that callers may use, in the order in which they should try them.
    pub fn entries(&self, affinity: u64) -> Vec<&MemberRecord> {
        let open = self.members.iter().filter(|(key, record)| self.is_entry(*key, record));
        rank_entry_routers(open.map(|(_, record)| record), &self.own.row.failure_domain, affinity)
    }

    /// What the router shows of its membership.
    pub fn status(&self) -> PeerStatus {
        let member = |link: &LinkState| self.members.get(link.member);
        PeerStatus {
            members: self.members.iter().map(|(_, record)| record.clone()).collect(),
            linked: self.links.values().filter_map(member).map(|m| m.row.name.clone()).collect(),
            watches: self.watches,
            complete: self.complete,
            trusted_until: self.trusted_until,
            shed: self.shed,
        }
    }

    /// State of a member, if it is known.
    pub fn member_state(&self, name: &HostName) -> Option<MemberState> {
        self.members.get(MemberKey::for_host(name)).map(|record| record.state)
    }

    /// Entries held, in no particular order.
    pub fn gossip_entries(&self) -> impl Iterator<Item = &SpreadEntry> {
        self.store.iter()
    }

    fn tick(&mut self, now: TimePoint) {
        self.next_tick = now.after(TICK);
        self.refresh_overlay();
        self.dial_wanted(now);
        self.accuse_silent(now);
        self.fail_standing(now);
        self.close_unwanted(now);
        self.refresh_watch(now);
        self.flush_all(now);
        self.tell_hosts();
        if self.clean_at.passed(now) {
            self.clean_at = now.after(CLEAN_EVERY);
            self.forget_dead(now);
        }
    }

    /// After a freeze the silence of others proves nothing, so their time starts anew.
    fn notice_freeze(&mut self, now: TimePoint) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap < FREEZE {
            return;
        }
        for link in self.links.values_mut() {
            link.heard = now;
        }
        for since in self.unlinked_since.values_mut() {
            *since = now;
        }
    }

    /// Notes that the platform or a peer was heard.
    fn trust(&mut self, now: TimePoint) {
        let until = now.after(ISOLATION);
        if until.since(self.trusted_until) >= TRUST_STEP {
            self.trusted_until = until;
            self.effects.push(PeerEffect::TrustedUntil(until));
        }
    }

    fn log(&mut self, sentence: String) {
        self.effects.push(PeerEffect::Log(sentence.into()));
    }
}
