//! Routers' peer cores joined by queues in virtual time, with faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use base_types::{
    DomainName, HostEntry, HostName, HostRole, HostState, PoolName, RouteName, RowVersion,
    TeamName, TimePoint,
};
use core_peers::{LinkKey, PeerCore, PeerEffect, PeerEvent, PeerPlan, SyncAsk, TableListing};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_membership::{MemberRow, MemberState, SuspicionTable};
use state_tables::{RouteRow, RowChange, RowContent, RowKey, TableKind, TableRevision};

const STEP: Duration = Duration::from_millis(10);
const POLL_EVERY: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
const DATAGRAM_COST: u64 = 70;

pub(crate) struct Node {
    pub(crate) core: Option<PeerCore>,
    pub(crate) row: MemberRow,
    pub(crate) frozen: bool,
    pub(crate) completes: usize,
    pub(crate) sent_bytes: u64,
    pub(crate) trusted_until: TimePoint,
    pub(crate) rows: BTreeMap<RowKey, RowVersion>,
    pub(crate) hosts: usize,
    pub(crate) reads: u64,
    epoch: u64,
    watches: bool,
    polled: TimePoint,
    revision: u64,
    links: BTreeMap<LinkKey, Link>,
    inbox: Vec<(TimePoint, Delivery)>,
}

#[derive(Clone, Copy)]
struct Link {
    peer: usize,
    peer_key: LinkKey,
    heard: TimePoint,
}

#[derive(Clone)]
enum Delivery {
    Event(PeerEvent),
    Ask(LinkKey, SyncAsk),
}

pub(crate) struct Fleet {
    pub(crate) now: TimePoint,
    pub(crate) nodes: Vec<Node>,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) loss: f64,
    pub(crate) platform_up: bool,
    pub(crate) budget: u32,
    suspicions: SuspicionTable,
    changes: Vec<RowChange>,
    rng: StdRng,
    next_link: u64,
    next_row: u64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, size: usize, domains: usize) -> Self {
        let nodes = (0..size).map(|index| Node::new(index, domains)).collect();
        Self {
            now: TimePoint(0),
            nodes,
            cuts: BTreeSet::new(),
            loss: 0.0,
            platform_up: true,
            budget: 3_000,
            suspicions: SuspicionTable::default(),
            changes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            next_link: 0,
            next_row: 0,
        }
    }

    /// The variant that believes one accuser.
    pub(crate) fn credulous(self) -> Self {
        Self { suspicions: SuspicionTable::single_reporter(), ..self }
    }

    pub(crate) fn start_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    pub(crate) fn start(&mut self, index: usize) {
        let seeds = (1..4).map(|step| self.nodes[(index + step) % self.nodes.len()].row.peer);
        let plan = PeerPlan {
            row: self.nodes[index].row.clone(),
            seeds: seeds.collect(),
            incarnation: 1 + self.now.0 / 1_000,
            bytes_per_second: self.budget,
        };
        let core = PeerCore::with_suspicions(self.now, plan, self.suspicions.clone());
        let node = &mut self.nodes[index];
        node.core = Some(core);
        node.sent_bytes = 0;
        node.epoch += 1;
        node.watches = true;
        node.revision = 0;
        node.polled = TimePoint(0);
        node.rows.clear();
        node.completes = 0;
        node.links.clear();
        node.inbox.clear();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.core = None;
        node.links.clear();
        node.inbox.clear();
    }

    pub(crate) fn post(&mut self, index: usize, event: PeerEvent) {
        self.nodes[index].inbox.push((self.now, Delivery::Event(event)));
    }

    /// Cuts every link between two sides, in both directions.
    pub(crate) fn partition(&mut self, is_left: impl Fn(usize) -> bool) {
        let size = self.nodes.len();
        for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
            if is_left(from) != is_left(to) {
                self.cuts.insert((from, to));
            }
        }
    }

    /// Cuts a share of all pairs in one direction.
    pub(crate) fn cut_some(&mut self, share: f64) {
        let size = self.nodes.len();
        for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
            if self.rng.random_bool(share) {
                self.cuts.insert((from, to));
            }
        }
    }

    /// Writes a row in the platform; watchers read it within milliseconds.
    pub(crate) fn write_row(&mut self, name: &str) -> (RowKey, RowVersion) {
        self.next_row += 1;
        let key = RowKey::Route(RouteName::new(name));
        let version = RowVersion(self.next_row);
        let row = RouteRow {
            name: RouteName::new(name),
            team: TeamName::new("team"),
            path: format!("/{name}/{}", self.next_row).into(),
            pool: PoolName::new("pool"),
            deadline_ms: 1_000,
        };
        let content = RowContent::Route(row);
        self.changes.push(RowChange { key: key.clone(), version, content });
        (key, version)
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now.after(span);
        while !end.passed(self.now) {
            self.now = self.now.after(STEP);
            for index in 0..self.nodes.len() {
                self.step_node(index);
            }
        }
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = (usize, &PeerCore)> {
        let live = self.nodes.iter().enumerate().filter(|(_, node)| !node.frozen);
        live.filter_map(|(index, node)| Some((index, node.core.as_ref()?)))
    }

    /// Pairs of an observer and a member whose state at the observer is another than the one
    /// asked for.
    pub(crate) fn disagreeing(&self, subject: usize, state: MemberState) -> Vec<usize> {
        let name = &self.nodes[subject].row.name;
        let others = self.live().filter(|(index, _)| *index != subject);
        let differing = others.filter(|(_, core)| core.member_state(name) != Some(state));
        differing.map(|(index, _)| index).collect()
    }

    /// Live members that some live member does not hold to be alive.
    pub(crate) fn doubted(&self) -> Vec<(usize, Vec<usize>)> {
        let subjects = self.live().map(|(index, _)| index);
        let doubts = subjects.map(|index| (index, self.disagreeing(index, MemberState::Alive)));
        doubts.filter(|(_, observers)| !observers.is_empty()).collect()
    }

    pub(crate) fn hosts(&self) -> Vec<HostEntry> {
        self.nodes.iter().map(Node::host_entry).collect()
    }

    fn step_node(&mut self, index: usize) {
        if self.nodes[index].core.is_none() || self.nodes[index].frozen {
            return;
        }
        self.poll_platform(index);
        self.close_idle(index);
        let now = self.now;
        let inbox = std::mem::take(&mut self.nodes[index].inbox);
        let (due, later) = inbox.into_iter().partition(|(at, _)| at.passed(now));
        self.nodes[index].inbox = later;
        let mut due: Vec<(TimePoint, Delivery)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, delivery) in due {
            self.deliver(index, delivery);
        }
        let deadline = self.nodes[index].core.as_ref().map(PeerCore::next_deadline);
        if deadline.is_some_and(|deadline| deadline.passed(now)) {
            let sent = self.nodes[index].sent_bytes;
            self.event(index, PeerEvent::WireSent(sent));
            self.event(index, PeerEvent::TimerFired);
        }
    }

    fn poll_platform(&mut self, index: usize) {
        if !self.platform_up || !self.nodes[index].watches {
            return;
        }
        if self.now.since(self.nodes[index].polled) >= POLL_EVERY || self.nodes[index].revision == 0
        {
            self.nodes[index].polled = self.now;
            self.nodes[index].reads += 1;
            self.event(index, PeerEvent::HostsPolled(self.hosts()));
        }
        let head = self.changes.last().map_or(1, |change| change.version.0 + 1);
        if self.nodes[index].revision == 0 {
            let listing = self.listing(head);
            self.nodes[index].reads += 2;
            self.event(index, PeerEvent::TablesListed(listing));
        } else if self.nodes[index].revision < head {
            let since = self.nodes[index].revision;
            let news: Vec<RowChange> =
                self.changes.iter().filter(|change| change.version.0 >= since).cloned().collect();
            for change in news {
                self.event(index, PeerEvent::RowRead(change));
            }
        }
        self.nodes[index].revision = head;
    }

    fn listing(&self, head: u64) -> TableListing {
        let mut rows: BTreeMap<RowKey, RowChange> = BTreeMap::new();
        for change in &self.changes {
            rows.insert(change.key.clone(), change.clone());
        }
        let revision = RowVersion(head);
        let read = |table| TableRevision { table, revision };
        TableListing {
            reads: TableKind::ALL.map(read).to_vec(),
            rows: rows.into_values().collect(),
        }
    }

    fn close_idle(&mut self, index: usize) {
        let now = self.now;
        let idle = |link: &Link| now.since(link.heard) > IDLE_TIMEOUT;
        let links = &self.nodes[index].links;
        let closed: Vec<LinkKey> =
            links.iter().filter(|(_, link)| idle(link)).map(|(key, _)| *key).collect();
        for key in closed {
            self.nodes[index].links.remove(&key);
            self.event(index, PeerEvent::LinkClosed(key));
        }
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        match delivery {
            Delivery::Event(event) => {
                if let PeerEvent::FrameHeard(key, _) = &event {
                    let now = self.now;
                    let Some(link) = self.nodes[index].links.get_mut(key) else { return };
                    link.heard = now;
                }
                self.event(index, event);
            }
            Delivery::Ask(key, ask) => {
                let Some(link) = self.nodes[index].links.get(&key).copied() else { return };
                let Some(core) = &self.nodes[index].core else { return };
                let reply = core.answer_sync(&ask);
                let bytes = postcard::experimental::serialized_size(&reply).unwrap_or_default();
                self.count(index, bytes);
                let event = PeerEvent::SyncAnswered(link.peer_key, reply);
                self.send(index, link.peer, Delivery::Event(event));
            }
        }
    }

    fn event(&mut self, index: usize, event: PeerEvent) {
        let Some(core) = &mut self.nodes[index].core else { return };
        for effect in core.on_event(self.now, event) {
            self.run_effect(index, effect);
        }
    }

    fn run_effect(&mut self, index: usize, effect: PeerEffect) {
        match effect {
            PeerEffect::Dial(address) => self.dial(index, address),
            PeerEffect::Close(key) => {
                let Some(link) = self.nodes[index].links.remove(&key) else { return };
                self.nodes[link.peer].links.remove(&link.peer_key);
                let closed = Delivery::Event(PeerEvent::LinkClosed(link.peer_key));
                self.send(index, link.peer, closed);
            }
            PeerEffect::Send(key, frame) => {
                let bytes = postcard::experimental::serialized_size(&frame).unwrap_or_default();
                self.count(index, bytes);
                let Some(link) = self.nodes[index].links.get(&key).copied() else { return };
                let event = PeerEvent::FrameHeard(link.peer_key, frame);
                self.send(index, link.peer, Delivery::Event(event));
            }
            PeerEffect::Ask(key, ask) => {
                let Some(link) = self.nodes[index].links.get(&key).copied() else { return };
                self.send(index, link.peer, Delivery::Ask(link.peer_key, ask));
                let at = self.now.after(Duration::from_secs(2));
                self.nodes[index].inbox.push((at, Delivery::Event(PeerEvent::SyncFailed(key))));
            }
            PeerEffect::RowAdopted(change) => {
                let before = self.nodes[index].rows.insert(change.key, change.version);
                assert!(before.is_none_or(|before| before < change.version), "a row went back");
            }
            PeerEffect::TablesComplete => self.nodes[index].completes += 1,
            PeerEffect::HostsChanged(hosts) => self.nodes[index].hosts = hosts.len(),
            PeerEffect::WatchChanged(watches) => {
                self.nodes[index].watches = watches;
                self.nodes[index].revision = 0;
            }
            PeerEffect::TrustedUntil(until) => self.nodes[index].trusted_until = until,
            PeerEffect::NoticeHeard(_) | PeerEffect::Log(_) => {}
        }
    }

    fn dial(&mut self, index: usize, address: SocketAddr) {
        let peer = usize::from(address.port()) - 1;
        let reachable = self.nodes[peer].core.is_some()
            && !self.nodes[peer].frozen
            && !self.cuts.contains(&(index, peer))
            && !self.cuts.contains(&(peer, index));
        if !reachable {
            let at = self.now.after(DIAL_TIMEOUT);
            let failed = Delivery::Event(PeerEvent::DialFailed(address));
            return self.nodes[index].inbox.push((at, failed));
        }
        let own_key = self.take_link();
        let peer_key = self.take_link();
        let heard = self.now;
        self.nodes[index].links.insert(own_key, Link { peer, peer_key, heard });
        self.nodes[peer].links.insert(peer_key, Link { peer: index, peer_key: own_key, heard });
        let own_name = self.nodes[index].row.name.clone();
        let peer_name = self.nodes[peer].row.name.clone();
        let opened = PeerEvent::LinkOpened(own_key, peer_name, Some(address));
        self.nodes[index].inbox.push((self.now.after(STEP * 2), Delivery::Event(opened)));
        let opened = PeerEvent::LinkOpened(peer_key, own_name, None);
        self.nodes[peer].inbox.push((self.now.after(STEP * 2), Delivery::Event(opened)));
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        let is_lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if is_lost || self.cuts.contains(&(from, to)) || self.nodes[to].core.is_none() {
            return;
        }
        let latency = Duration::from_millis(self.rng.random_range(10..40));
        self.nodes[to].inbox.push((self.now.after(latency), delivery));
    }

    fn count(&mut self, index: usize, bytes: usize) {
        self.nodes[index].sent_bytes += bytes as u64 + DATAGRAM_COST;
    }

    fn take_link(&mut self) -> LinkKey {
        self.next_link += 1;
        LinkKey(self.next_link)
    }
}

impl Node {
    fn new(index: usize, domains: usize) -> Self {
        let port = index as u16 + 1;
        let row = MemberRow {
            name: HostName::new(&format!("router-{index}")),
            failure_domain: DomainName::new(&format!("domain-{}", index % domains)),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            caller: format!("127.0.0.1:{port}").into(),
        };
        Self {
            core: None,
            row,
            frozen: false,
            completes: 0,
            sent_bytes: 0,
            trusted_until: TimePoint(0),
            rows: BTreeMap::new(),
            hosts: 0,
            reads: 0,
            epoch: 0,
            watches: true,
            polled: TimePoint(0),
            revision: 0,
            links: BTreeMap::new(),
            inbox: Vec::new(),
        }
    }

    fn host_entry(&self) -> HostEntry {
        HostEntry {
            name: self.row.name.clone(),
            role: HostRole::Entry,
            group: "router".into(),
            address: self.row.caller.clone(),
            peer: Some(self.row.peer),
            failure_domain: self.row.failure_domain.clone(),
            state: HostState::Live,
        }
    }
}
