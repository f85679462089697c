//! The state machine of one router.

mod arrivals;
mod attempts;
mod config;
mod dispatch;
mod explain;
mod operations;
mod queueing;
mod shares;
mod suspects;

pub use crate::core::shares::SharePace;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{AttemptKey, HostName, PoolName, RequestKey, TimePoint, message_types};
use policy_admission::{AccountLimits, FairQueue};
use policy_retries::{RetryBudgets, SuspectLedger};
use policy_routing::{HolderMemory, PeerLoads};
use policy_targets::TargetPhase;
use state_tables::TableSet;

use crate::{
    DecisionRecord, Effect, Event, HostEntry, TargetRecord, core::shares::OwnShare,
    decision::DecisionLog, request::LiveRequest, targets::TargetArena,
};

/// Chats whose targets a router remembers; about 100 bytes each.
const HOLDERS_MAX: usize = 65_536;

const COME_BACK: Duration = Duration::from_secs(1);

message_types! {
    /// Counts that a router shows of itself.
    pub struct CoreStatus {
        /// Requests in any state of their life.
        pub requests: usize,
        /// Whether the tables have been read.
        pub tables_complete: bool,
        /// Point until which new work is taken, as the platform or a peer was heard.
        pub trusted_until: TimePoint,
        /// Whether the router is shutting down.
        pub leaving: bool,
    }
}

/// The decisions and the state of one router.
#[derive(Debug)]
pub struct RouterCore {
    name: HostName,
    attempt_seed: u64,
    attempts: u64,
    table: TableSet,
    tables_complete: bool,
    trusted_until: TimePoint,
    leaving: bool,
    targets: TargetArena,
    peer_loads: PeerLoads,
    share: OwnShare,
    latest: TimePoint,
    queues: BTreeMap<PoolName, FairQueue>,
    limits: AccountLimits,
    accounts_due: TimePoint,
    accounts_sequence: u64,
    holders: HolderMemory,
    budgets: RetryBudgets,
    suspects: SuspectLedger,
    wakes: BTreeSet<(TimePoint, RequestKey)>,
    entries: Vec<HostEntry>,
    requests: BTreeMap<RequestKey, LiveRequest>,
    deadlines: BTreeSet<(TimePoint, RequestKey)>,
    decisions: DecisionLog,
    effects: Vec<Effect>,
}

impl RouterCore {
    /// A router that has no tables yet; the seed makes its attempt keys unique across restarts.
    pub fn new(name: HostName, attempt_seed: u64) -> Self {
        Self {
            name,
            attempt_seed,
            attempts: 0,
            table: TableSet::default(),
            tables_complete: false,
            trusted_until: TimePoint::NEVER,
            leaving: false,
            targets: TargetArena::default(),
            peer_loads: PeerLoads::default(),
            share: OwnShare::default(),
            latest: TimePoint(0),
            queues: BTreeMap::new(),
            limits: AccountLimits::default(),
            accounts_due: TimePoint::NEVER,
            accounts_sequence: 0,
            holders: HolderMemory::new(HOLDERS_MAX),
            budgets: RetryBudgets::default(),
            suspects: SuspectLedger::default(),
            wakes: BTreeSet::new(),
            entries: Vec::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            decisions: DecisionLog::default(),
            effects: Vec::new(),
        }
    }

    /// The same router at another pace of its load shares.
    pub fn with_share_pace(mut self, pace: SharePace) -> Self {
        self.share.pace = pace;
        self
    }

    /// Takes an event and returns what is to be done.
    pub fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect> {
        self.latest = now;
        match event {
            Event::Arrived(arrival) => self.on_arrival(now, arrival),
            Event::ClaimAnswered(request, outcome) => self.on_claim(now, request, outcome),
            Event::AnswerRecorded(request) => self.on_recorded(now, request),
            Event::AttemptUnsent(request, attempt) => self.on_unsent(now, request, attempt),
            Event::AttemptEnded(request, attempt, end) => self.on_end(now, request, attempt, end),
            Event::CallerLeft(request) => self.on_caller_left(now, request),
            Event::HostsListed(hosts) => self.on_hosts(now, hosts),
            Event::RowHeard(change) => self.on_row(change),
            Event::TablesListed(reads, rows) => self.on_tables(&reads, rows),
            Event::LeavingHeard(target) => self.on_leaving_heard(now, target),
            Event::TrustedUntil(until) => self.trusted_until = until,
            Event::TablesComplete => self.tables_complete = true,
            Event::LoadHeard(target, report) => self.on_load(now, target, report),
            Event::NoticeHeard(notice) => self.on_notice(now, notice),
            Event::ShutdownAsked => self.leaving = true,
            Event::StopForced => self.on_stop_forced(now),
            Event::TimerFired => self.on_timer(now),
        }
        self.drain_queues(now);
        self.tell_load(now);
        self.tell_accounts(now);
        std::mem::take(&mut self.effects)
    }

    /// The next point at which [`Event::TimerFired`] is due.
    pub fn next_deadline(&self) -> TimePoint {
        let request = self.deadlines.first().map_or(TimePoint::NEVER, |(deadline, _)| *deadline);
        let wake = self.wakes.first().map_or(TimePoint::NEVER, |(at, _)| *at);
        let waits = self.queues.values().map(FairQueue::next_deadline).min();
        let wait = waits.unwrap_or(TimePoint::NEVER).min(self.accounts_due);
        request
            .min(wake)
            .min(wait)
            .min(self.share.next_deadline())
            .min(self.peer_loads.next_expiry())
    }

    /// Name of the router's host.
    pub fn name(&self) -> &HostName {
        &self.name
    }

    /// The rows in force.
    pub fn table(&self) -> &TableSet {
        &self.table
    }

    /// Counts that the router shows of itself.
    pub fn status(&self) -> CoreStatus {
        CoreStatus {
            requests: self.requests.len(),
            tables_complete: self.tables_complete,
            trusted_until: self.trusted_until,
            leaving: self.leaving,
        }
    }

    /// The state of a target at the latest event.
    pub fn phase(&self, target: &TargetRecord) -> TargetPhase {
        target.life.phase(self.latest)
    }

    /// Whether a target took new work at the latest event.
    pub fn takes_work(&self, target: &TargetRecord) -> bool {
        target.life.percent(self.latest) > 0
    }

    /// The targets that the router knows.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.records()
    }

    /// What was decided about a request, if it is still remembered.
    pub fn explain(&self, request: RequestKey) -> Option<&DecisionRecord> {
        self.decisions.find(request)
    }

    /// Routers that callers may use, by the platform's host list.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.entries.iter()
    }

    fn note(&mut self, now: TimePoint, key: RequestKey, sentence: String) {
        self.decisions.add(key, now, sentence);
    }

    fn next_attempt(&mut self) -> AttemptKey {
        self.attempts += 1;
        AttemptKey((u128::from(self.attempt_seed) << 64) | u128::from(self.attempts))
    }
}
