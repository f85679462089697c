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

pub use crate::core::shares::ShareOptions;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base_types::{AttemptKey, HostName, PoolName, RequestKey, TimePoint, message_types};
use policy_admission::{AccountLimits, FairQueue};
use policy_retries::{RetryBudgets, SuspectTracker};
use policy_routing::{PeerLoads, PlacementCache};
use policy_targets::TargetPhase;
use state_tables::TableSet;

use crate::{
    DecisionRecord, Effect, Event, HostEntry, TargetRecord, core::shares::LoadShareSchedule,
    decision::DecisionLog, request::LiveRequest, targets::TargetArena,
};

/// Chats whose placement a router remembers; each takes about 100 bytes.
const PLACEMENTS_MAX: usize = 65_536;

/// Time after which a refused caller may retry, unless the refusal names another time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

message_types! {
    /// Counters and flags that a router reports about itself.
    pub struct CoreStatus {
        /// Requests in any state, those without a waiting caller included.
        pub requests: usize,
        /// Whether all tables were read, or received in full from a peer, since the start.
        pub tables_complete: bool,
        /// Time until which new work is accepted; renewed at each contact with the platform or a
        /// peer.
        pub trusted_until: TimePoint,
        /// Whether the router is shutting down.
        pub leaving: bool,
    }
}

/// State machine of one router: holds all routing state and turns events into effects.
#[derive(Debug)]
pub struct RouterCore {
    name: HostName,
    attempt_seed: u64,
    attempt_count: u64,
    tables: TableSet,
    tables_complete: bool,
    trusted_until: TimePoint,
    leaving: bool,
    targets: TargetArena,
    peer_loads: PeerLoads,
    load_share: LoadShareSchedule,
    last_event_at: TimePoint,
    queues: BTreeMap<PoolName, FairQueue>,
    account_limits: AccountLimits,
    account_share_due_at: TimePoint,
    account_share_sequence: u64,
    placements: PlacementCache,
    retry_budgets: RetryBudgets,
    suspects: SuspectTracker,
    delayed_requests: BTreeSet<(TimePoint, RequestKey)>,
    entry_hosts: Vec<HostEntry>,
    requests: BTreeMap<RequestKey, LiveRequest>,
    deadlines: BTreeSet<(TimePoint, RequestKey)>,
    decisions: DecisionLog,
    effects: Vec<Effect>,
}

impl RouterCore {
    /// Creates a router without tables; the seed makes its attempt keys unique across restarts.
    pub fn new(name: HostName, attempt_seed: u64) -> Self {
        Self {
            name,
            attempt_seed,
            attempt_count: 0,
            tables: TableSet::default(),
            tables_complete: false,
            trusted_until: TimePoint::NEVER,
            leaving: false,
            targets: TargetArena::default(),
            peer_loads: PeerLoads::default(),
            load_share: LoadShareSchedule::default(),
            last_event_at: TimePoint(0),
            queues: BTreeMap::new(),
            account_limits: AccountLimits::default(),
            account_share_due_at: TimePoint::NEVER,
            account_share_sequence: 0,
            placements: PlacementCache::new(PLACEMENTS_MAX),
            retry_budgets: RetryBudgets::default(),
            suspects: SuspectTracker::default(),
            delayed_requests: BTreeSet::new(),
            entry_hosts: Vec::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            decisions: DecisionLog::default(),
            effects: Vec::new(),
        }
    }

    /// Replaces the minimum interval between load shares.
    pub fn with_share_options(mut self, options: ShareOptions) -> Self {
        self.load_share.options = options;
        self
    }

    /// Applies an event and returns the effects that the caller must carry out.
    pub fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect> {
        self.last_event_at = now;
        match event {
            Event::Arrived(incoming) => self.on_arrival(now, incoming),
            Event::ClaimAnswered(request, outcome) => self.on_claim_outcome(now, request, outcome),
            Event::AnswerRecorded(request) => self.on_answer_recorded(now, request),
            Event::AttemptUnsent(request, attempt) => self.on_attempt_unsent(now, request, attempt),
            Event::AttemptEnded(request, attempt, outcome) => {
                self.on_attempt_ended(now, request, attempt, outcome)
            }
            Event::CallerDisconnected(request) => self.on_caller_disconnected(now, request),
            Event::HostsListed(hosts) => self.on_host_list(now, hosts),
            Event::RowReceived(change) => self.on_row_change(change),
            Event::TablesListed(revisions, rows) => self.on_table_lists(&revisions, rows),
            Event::TargetLeavingReported(target) => self.on_target_leaving(now, target),
            Event::TrustedUntil(until) => self.trusted_until = until,
            Event::TablesComplete => self.tables_complete = true,
            Event::LoadReported(target, report) => self.on_load_report(now, target, report),
            Event::NoticeReceived(notice) => self.on_notice(now, notice),
            Event::ShutdownRequested => self.leaving = true,
            Event::StopForced => self.on_stop_forced(now),
            Event::TimerFired => self.on_timer(now),
        }
        self.dispatch_queued(now);
        self.publish_load(now);
        self.publish_accounts(now);
        std::mem::take(&mut self.effects)
    }

    /// The next time at which [`Event::TimerFired`] is due.
    pub fn next_deadline(&self) -> TimePoint {
        let request_deadline =
            self.deadlines.first().map_or(TimePoint::NEVER, |(deadline, _)| *deadline);
        let delayed_until = self.delayed_requests.first().map_or(TimePoint::NEVER, |(at, _)| *at);
        let queue_deadlines = self.queues.values().map(FairQueue::next_deadline).min();
        let queue_or_share =
            queue_deadlines.unwrap_or(TimePoint::NEVER).min(self.account_share_due_at);
        request_deadline
            .min(delayed_until)
            .min(queue_or_share)
            .min(self.load_share.next_deadline())
            .min(self.peer_loads.next_expiry())
    }

    /// Name of the router's host.
    pub fn name(&self) -> &HostName {
        &self.name
    }

    /// Routes and pools in force.
    pub fn tables(&self) -> &TableSet {
        &self.tables
    }

    /// Counters and flags that the router reports about itself.
    pub fn status(&self) -> CoreStatus {
        CoreStatus {
            requests: self.requests.len(),
            tables_complete: self.tables_complete,
            trusted_until: self.trusted_until,
            leaving: self.leaving,
        }
    }

    /// Phase of a target at the time of the latest event.
    pub fn phase(&self, target: &TargetRecord) -> TargetPhase {
        target.lifecycle.phase(self.last_event_at)
    }

    /// Whether a target accepted new work at the time of the latest event.
    pub fn accepts_work(&self, target: &TargetRecord) -> bool {
        target.lifecycle.work_percent(self.last_event_at) > 0
    }

    /// All targets that a host list has named, unlisted ones included.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.records()
    }

    /// Decisions made about a request; `None` after newer requests have displaced the record.
    pub fn explain(&self, request: RequestKey) -> Option<&DecisionRecord> {
        self.decisions.find(request)
    }

    /// Live hosts of routers in the latest agreed host list, in the order of that list.
    pub fn entry_hosts(&self) -> impl Iterator<Item = &HostEntry> {
        self.entry_hosts.iter()
    }

    fn record_decision(&mut self, now: TimePoint, key: RequestKey, sentence: String) {
        self.decisions.add(key, now, sentence);
    }

    fn next_attempt_key(&mut self) -> AttemptKey {
        self.attempt_count += 1;
        AttemptKey((u128::from(self.attempt_seed) << 64) | u128::from(self.attempt_count))
    }
}
