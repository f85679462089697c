//! Simulation of a fleet: the peer cores of all routers, connected by message queues in virtual
//! time, with injected faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use base_types::{
    FailureDomainName, HostEntry, HostName, HostRole, HostState, PoolName, RouteName, RowVersion,
    TeamName, TimePoint,
};
use core_peers::{LinkKey, PeerConfig, PeerCore, PeerEffect, PeerEvent, SyncRequest, TableListing};
use rand::{Rng, SeedableRng, rngs::StdRng};
use state_membership::{MemberRow, MemberState, SuspicionTable};
use state_tables::{RouteRow, RowChange, RowContent, RowKey, TableKind, TableRevision};

const STEP: Duration = Duration::from_millis(10);
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const DATAGRAM_OVERHEAD_BYTES: u64 = 70;

pub(crate) struct SimulatedRouter {
    pub(crate) core: Option<PeerCore>,
    pub(crate) row: MemberRow,
    pub(crate) is_frozen: bool,
    pub(crate) all_rows_received_events: usize,
    pub(crate) sent_bytes: u64,
    pub(crate) trusted_until: TimePoint,
    pub(crate) row_versions: BTreeMap<RowKey, RowVersion>,
    pub(crate) host_count: usize,
    pub(crate) platform_reads: u64,
    start_count: u64,
    is_watching: bool,
    last_poll_at: TimePoint,
    revision: u64,
    links: BTreeMap<LinkKey, Link>,
    inbox: Vec<(TimePoint, Delivery)>,
}

#[derive(Clone, Copy)]
struct Link {
    peer: usize,
    peer_key: LinkKey,
    last_received_at: TimePoint,
}

#[derive(Clone)]
enum Delivery {
    Event(PeerEvent),
    SyncRequest(LinkKey, SyncRequest),
}

pub(crate) struct SimulatedFleet {
    pub(crate) now: TimePoint,
    pub(crate) routers: Vec<SimulatedRouter>,
    pub(crate) blocked_pairs: BTreeSet<(usize, usize)>,
    pub(crate) loss_rate: f64,
    pub(crate) platform_is_up: bool,
    pub(crate) bytes_per_second: u32,
    suspicions: SuspicionTable,
    row_changes: Vec<RowChange>,
    rng: StdRng,
    last_link_key: u64,
    last_row_version: u64,
}

impl SimulatedFleet {
    pub(crate) fn new(seed: u64, size: usize, domains: usize) -> Self {
        let routers = (0..size).map(|index| SimulatedRouter::new(index, domains)).collect();
        Self {
            now: TimePoint(0),
            routers,
            blocked_pairs: BTreeSet::new(),
            loss_rate: 0.0,
            platform_is_up: true,
            bytes_per_second: 3_000,
            suspicions: SuspicionTable::default(),
            row_changes: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            last_link_key: 0,
            last_row_version: 0,
        }
    }

    /// Lets every router declare a failure at the report of a single router.
    pub(crate) fn with_single_reporter_rule(self) -> Self {
        Self { suspicions: SuspicionTable::faulty_single_reporter_rule(), ..self }
    }

    pub(crate) fn start_all(&mut self) {
        for index in 0..self.routers.len() {
            self.start(index);
        }
    }

    pub(crate) fn start(&mut self, index: usize) {
        let seed_addresses =
            (1..4).map(|step| self.routers[(index + step) % self.routers.len()].row.peer_address);
        let config = PeerConfig {
            row: self.routers[index].row.clone(),
            seed_addresses: seed_addresses.collect(),
            incarnation: 1 + self.now.0 / 1_000,
            bytes_per_second: self.bytes_per_second,
        };
        let core = PeerCore::with_suspicions(self.now, config, self.suspicions.clone());
        let router = &mut self.routers[index];
        router.core = Some(core);
        router.sent_bytes = 0;
        router.start_count += 1;
        router.is_watching = true;
        router.revision = 0;
        router.last_poll_at = TimePoint(0);
        router.row_versions.clear();
        router.all_rows_received_events = 0;
        router.links.clear();
        router.inbox.clear();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.core = None;
        router.links.clear();
        router.inbox.clear();
    }

    pub(crate) fn queue_event(&mut self, index: usize, event: PeerEvent) {
        self.routers[index].inbox.push((self.now, Delivery::Event(event)));
    }

    /// Blocks all traffic between two sides, in both directions.
    pub(crate) fn partition(&mut self, is_on_left: impl Fn(usize) -> bool) {
        let size = self.routers.len();
        for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
            if is_on_left(from) != is_on_left(to) {
                self.blocked_pairs.insert((from, to));
            }
        }
    }

    /// Blocks each ordered pair of routers with a probability.
    pub(crate) fn block_random_pairs(&mut self, fraction: f64) {
        let size = self.routers.len();
        for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
            if self.rng.random_bool(fraction) {
                self.blocked_pairs.insert((from, to));
            }
        }
    }

    /// Writes a row in the platform; watchers read it in their next step.
    pub(crate) fn write_row(&mut self, name: &str) -> (RowKey, RowVersion) {
        self.last_row_version += 1;
        let key = RowKey::Route(RouteName::new(name));
        let version = RowVersion(self.last_row_version);
        let row = RouteRow {
            name: RouteName::new(name),
            team: TeamName::new("team"),
            path: format!("/{name}/{}", self.last_row_version).into(),
            pool: PoolName::new("pool"),
            deadline_ms: 1_000,
        };
        let content = RowContent::Route(row);
        self.row_changes.push(RowChange { key: key.clone(), version, content });
        (key, version)
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now.after(duration);
        while !end.passed(self.now) {
            self.now = self.now.after(STEP);
            for index in 0..self.routers.len() {
                self.step_router(index);
            }
        }
    }

    pub(crate) fn live_cores(&self) -> impl Iterator<Item = (usize, &PeerCore)> {
        let running = self.routers.iter().enumerate().filter(|(_, router)| !router.is_frozen);
        running.filter_map(|(index, router)| Some((index, router.core.as_ref()?)))
    }

    /// Live routers at which the state of `subject` differs from `state`.
    pub(crate) fn observers_disagreeing(&self, subject: usize, state: MemberState) -> Vec<usize> {
        let name = &self.routers[subject].row.name;
        let others = self.live_cores().filter(|(index, _)| *index != subject);
        let differing = others.filter(|(_, core)| core.member_state(name) != Some(state));
        differing.map(|(index, _)| index).collect()
    }

    /// Live members that some live router does not consider alive, each with these routers.
    pub(crate) fn misjudged_members(&self) -> Vec<(usize, Vec<usize>)> {
        let subjects = self.live_cores().map(|(index, _)| index);
        let misjudged =
            subjects.map(|index| (index, self.observers_disagreeing(index, MemberState::Alive)));
        misjudged.filter(|(_, observers)| !observers.is_empty()).collect()
    }

    pub(crate) fn host_list(&self) -> Vec<HostEntry> {
        self.routers.iter().map(SimulatedRouter::host_entry).collect()
    }

    fn step_router(&mut self, index: usize) {
        if self.routers[index].core.is_none() || self.routers[index].is_frozen {
            return;
        }
        self.poll_platform(index);
        self.close_idle(index);
        let now = self.now;
        let inbox = std::mem::take(&mut self.routers[index].inbox);
        let (due, pending) = inbox.into_iter().partition(|(at, _)| at.passed(now));
        self.routers[index].inbox = pending;
        let mut due: Vec<(TimePoint, Delivery)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, delivery) in due {
            self.deliver(index, delivery);
        }
        let deadline = self.routers[index].core.as_ref().map(PeerCore::next_deadline);
        if deadline.is_some_and(|deadline| deadline.passed(now)) {
            let sent = self.routers[index].sent_bytes;
            self.run_event(index, PeerEvent::SentBytesCounted(sent));
            self.run_event(index, PeerEvent::TimerFired);
        }
    }

    fn poll_platform(&mut self, index: usize) {
        if !self.platform_is_up || !self.routers[index].is_watching {
            return;
        }
        if self.now.since(self.routers[index].last_poll_at) >= POLL_INTERVAL
            || self.routers[index].revision == 0
        {
            self.routers[index].last_poll_at = self.now;
            self.routers[index].platform_reads += 1;
            self.run_event(index, PeerEvent::HostsPolled(self.host_list()));
        }
        let next_revision = self.row_changes.last().map_or(1, |change| change.version.0 + 1);
        if self.routers[index].revision == 0 {
            let listing = self.listing(next_revision);
            self.routers[index].platform_reads += 2;
            self.run_event(index, PeerEvent::TablesListed(listing));
        } else if self.routers[index].revision < next_revision {
            let since = self.routers[index].revision;
            let new_changes: Vec<RowChange> = self
                .row_changes
                .iter()
                .filter(|change| change.version.0 >= since)
                .cloned()
                .collect();
            for change in new_changes {
                self.run_event(index, PeerEvent::RowRead(change));
            }
        }
        self.routers[index].revision = next_revision;
    }

    fn listing(&self, next_revision: u64) -> TableListing {
        let mut rows: BTreeMap<RowKey, RowChange> = BTreeMap::new();
        for change in &self.row_changes {
            rows.insert(change.key.clone(), change.clone());
        }
        let revision = RowVersion(next_revision);
        let read = |table| TableRevision { table, revision };
        TableListing {
            reads: TableKind::ALL.map(read).to_vec(),
            rows: rows.into_values().collect(),
        }
    }

    fn close_idle(&mut self, index: usize) {
        let now = self.now;
        let is_idle = |link: &Link| now.since(link.last_received_at) > IDLE_TIMEOUT;
        let links = &self.routers[index].links;
        let idle_keys: Vec<LinkKey> =
            links.iter().filter(|(_, link)| is_idle(link)).map(|(key, _)| *key).collect();
        for key in idle_keys {
            self.routers[index].links.remove(&key);
            self.run_event(index, PeerEvent::LinkClosed(key));
        }
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        match delivery {
            Delivery::Event(event) => {
                if let PeerEvent::FrameReceived(key, _) = &event {
                    let now = self.now;
                    let Some(link) = self.routers[index].links.get_mut(key) else { return };
                    link.last_received_at = now;
                }
                self.run_event(index, event);
            }
            Delivery::SyncRequest(key, request) => {
                let Some(link) = self.routers[index].links.get(&key).copied() else { return };
                let Some(core) = &self.routers[index].core else { return };
                let reply = core.handle_sync_request(&request);
                let bytes = postcard::experimental::serialized_size(&reply).unwrap_or_default();
                self.count_sent(index, bytes);
                let event = PeerEvent::SyncAnswered(link.peer_key, reply);
                self.send(index, link.peer, Delivery::Event(event));
            }
        }
    }

    fn run_event(&mut self, index: usize, event: PeerEvent) {
        let Some(core) = &mut self.routers[index].core else { return };
        for effect in core.on_event(self.now, event) {
            self.run_effect(index, effect);
        }
    }

    fn run_effect(&mut self, index: usize, effect: PeerEffect) {
        match effect {
            PeerEffect::Connect(address) => self.connect(index, address),
            PeerEffect::Close(key) => {
                let Some(link) = self.routers[index].links.remove(&key) else { return };
                self.routers[link.peer].links.remove(&link.peer_key);
                let closed = Delivery::Event(PeerEvent::LinkClosed(link.peer_key));
                self.send(index, link.peer, closed);
            }
            PeerEffect::Send(key, frame) => {
                let bytes = postcard::experimental::serialized_size(&frame).unwrap_or_default();
                self.count_sent(index, bytes);
                let Some(link) = self.routers[index].links.get(&key).copied() else { return };
                let event = PeerEvent::FrameReceived(link.peer_key, frame);
                self.send(index, link.peer, Delivery::Event(event));
            }
            PeerEffect::RequestSync(key, request) => {
                let Some(link) = self.routers[index].links.get(&key).copied() else { return };
                self.send(index, link.peer, Delivery::SyncRequest(link.peer_key, request));
                let at = self.now.after(Duration::from_secs(2));
                self.routers[index].inbox.push((at, Delivery::Event(PeerEvent::SyncFailed(key))));
            }
            PeerEffect::RowAdopted(change) => {
                let previous = self.routers[index].row_versions.insert(change.key, change.version);
                assert!(
                    previous.is_none_or(|previous| previous < change.version),
                    "a row returned to an older version"
                );
            }
            PeerEffect::AllRowsReceived => self.routers[index].all_rows_received_events += 1,
            PeerEffect::HostsChanged(hosts) => self.routers[index].host_count = hosts.len(),
            PeerEffect::WatchChanged(is_watching) => {
                self.routers[index].is_watching = is_watching;
                self.routers[index].revision = 0;
            }
            PeerEffect::TrustedUntil(until) => self.routers[index].trusted_until = until,
            PeerEffect::NoticeReceived(_) | PeerEffect::Log(_) => {}
        }
    }

    fn connect(&mut self, index: usize, address: SocketAddr) {
        let peer = usize::from(address.port()) - 1;
        let reachable = self.routers[peer].core.is_some()
            && !self.routers[peer].is_frozen
            && !self.blocked_pairs.contains(&(index, peer))
            && !self.blocked_pairs.contains(&(peer, index));
        if !reachable {
            let at = self.now.after(CONNECT_TIMEOUT);
            let failed = Delivery::Event(PeerEvent::ConnectFailed(address));
            return self.routers[index].inbox.push((at, failed));
        }
        let own_key = self.next_link_key();
        let peer_key = self.next_link_key();
        let last_received_at = self.now;
        self.routers[index].links.insert(own_key, Link { peer, peer_key, last_received_at });
        self.routers[peer]
            .links
            .insert(peer_key, Link { peer: index, peer_key: own_key, last_received_at });
        let own_name = self.routers[index].row.name.clone();
        let peer_name = self.routers[peer].row.name.clone();
        let opened = PeerEvent::LinkOpened(own_key, peer_name, Some(address));
        self.routers[index].inbox.push((self.now.after(STEP * 2), Delivery::Event(opened)));
        let opened = PeerEvent::LinkOpened(peer_key, own_name, None);
        self.routers[peer].inbox.push((self.now.after(STEP * 2), Delivery::Event(opened)));
    }

    fn send(&mut self, from: usize, to: usize, delivery: Delivery) {
        let is_lost = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
        if is_lost || self.blocked_pairs.contains(&(from, to)) || self.routers[to].core.is_none() {
            return;
        }
        let latency = Duration::from_millis(self.rng.random_range(10..40));
        self.routers[to].inbox.push((self.now.after(latency), delivery));
    }

    fn count_sent(&mut self, index: usize, bytes: usize) {
        self.routers[index].sent_bytes += bytes as u64 + DATAGRAM_OVERHEAD_BYTES;
    }

    fn next_link_key(&mut self) -> LinkKey {
        self.last_link_key += 1;
        LinkKey(self.last_link_key)
    }
}

impl SimulatedRouter {
    fn new(index: usize, domains: usize) -> Self {
        let port = index as u16 + 1;
        let row = MemberRow {
            name: HostName::new(&format!("router-{index}")),
            failure_domain: FailureDomainName::new(&format!("domain-{}", index % domains)),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            caller_address: format!("127.0.0.1:{port}").into(),
        };
        Self {
            core: None,
            row,
            is_frozen: false,
            all_rows_received_events: 0,
            sent_bytes: 0,
            trusted_until: TimePoint(0),
            row_versions: BTreeMap::new(),
            host_count: 0,
            platform_reads: 0,
            start_count: 0,
            is_watching: true,
            last_poll_at: TimePoint(0),
            revision: 0,
            links: BTreeMap::new(),
            inbox: Vec::new(),
        }
    }

    fn host_entry(&self) -> HostEntry {
        HostEntry {
            name: self.row.name.clone(),
            role: HostRole::Router,
            group: "router".into(),
            address: self.row.caller_address.clone(),
            peer: Some(self.row.peer_address),
            failure_domain: self.row.failure_domain.clone(),
            state: HostState::Live,
        }
    }
}
