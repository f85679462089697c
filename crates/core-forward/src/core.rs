//! The state machine of one forwarding router.

mod beats;
mod dispatch;
mod ends;
mod snapshots;

pub use self::snapshots::{EngineAddress, HeldPart, PeerSnapshot};

use std::collections::BTreeMap;

use base_types::{
    AccountName, ContentDigest, HostName, NotRunCode, PoolName, RouteName, TimePoint, message_types,
};
use policy_retries::{WindowBounds, WindowBudget};
use policy_routing::{PeerLoads, SegmentDirectory, affinity_hash};
use state_config::{CallerLimits, ConfigVersion, FleetConfig};

use crate::{
    CallHead, CallKey, ForwardBounds, RouterEntry, TargetEntry, TargetStatus, call::LiveCall,
    peers::PeerBook, targets::TargetArena,
};

/// Prompt parts whose holders are remembered; about 300 bytes each.
const PARTS_MAX: usize = 4_096;

message_types! {
    /// What a router shows of itself.
    pub struct ForwardStatus {
        /// Version of the configuration in force.
        pub version: Option<ConfigVersion>,
        /// Point at which it was adopted.
        pub adopted: TimePoint,
        /// Calls in flight.
        pub calls: usize,
        /// Other routers that were heard lately.
        pub peers: usize,
        /// Prompt parts whose holders are known.
        pub parts: usize,
        /// Whether the router is shutting down.
        pub leaving: bool,
        /// Repeats that are left to this router, by pool.
        pub retry_room: Vec<(PoolName, u64)>,
        /// The targets.
        pub targets: Vec<TargetStatus>,
    }

    /// What the core knows of an admitted call.
    pub struct AdmittedCall {
        /// Key of the call.
        pub call: CallKey,
        /// Its route.
        pub route: RouteName,
        /// Its pool.
        pub pool: PoolName,
        /// Whether its answer is a stream.
        pub streams: bool,
        /// Whether another target may continue its stream.
        pub resumable: bool,
        /// Version of the configuration that admitted it.
        pub version: ConfigVersion,
    }
}

/// The decisions and the state of one forwarding router.
#[derive(Debug)]
pub struct ForwardCore {
    entry: RouterEntry,
    bounds: ForwardBounds,
    config: Option<FleetConfig>,
    /// Point at which the first configuration was adopted.
    began: TimePoint,
    adopted: TimePoint,
    leaving: bool,
    targets: TargetArena,
    targets_listed: bool,
    peers: PeerBook,
    peer_loads: PeerLoads,
    budgets: BTreeMap<PoolName, WindowBudget>,
    holders: SegmentDirectory,
    told_parts: Vec<(u64, u64)>,
    calls: BTreeMap<CallKey, LiveCall>,
    next_call: u64,
    beat_sequence: u64,
}

impl ForwardCore {
    /// A router that knows no configuration and no target yet.
    pub fn new(entry: RouterEntry, bounds: ForwardBounds) -> Self {
        Self {
            entry,
            bounds,
            config: None,
            began: TimePoint(0),
            adopted: TimePoint(0),
            leaving: false,
            targets: TargetArena::default(),
            targets_listed: false,
            peers: PeerBook::default(),
            peer_loads: PeerLoads::default(),
            budgets: BTreeMap::new(),
            holders: SegmentDirectory::new(PARTS_MAX),
            told_parts: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            beat_sequence: 0,
        }
    }

    /// Adopts a configuration unless one of the same or a later version is in force.
    pub fn adopt_config(&mut self, now: TimePoint, config: FleetConfig) -> bool {
        if self.config.as_ref().is_some_and(|current| current.version >= config.version) {
            return false;
        }
        if self.config.is_none() {
            self.began = now;
        }
        self.config = Some(config);
        self.adopted = now;
        true
    }

    /// Takes over the whole list of targets.
    pub fn list_targets(&mut self, now: TimePoint, entries: Vec<TargetEntry>) {
        self.targets.list(now, entries);
        self.targets_listed = true;
    }

    /// Takes over one entry of the list of targets.
    pub fn put_target(&mut self, now: TimePoint, entry: TargetEntry) {
        self.targets.put(now, entry);
    }

    /// The platform no longer lists a target.
    pub fn remove_target(&mut self, now: TimePoint, name: &HostName) {
        self.targets.remove(now, name);
    }

    /// The platform answers again after it was away; entries that lapsed meanwhile may come back.
    pub fn platform_returned(&mut self, now: TimePoint) {
        self.targets.platform_returned(now);
    }

    /// Forgets what has lapsed; due about once a second.
    pub fn sweep(&mut self, now: TimePoint) {
        for target in self.targets.sweep(now) {
            self.holders.remove_target(target);
        }
        self.peer_loads.expire(now);
    }

    /// The router is about to stop: it takes calls that still come but no new callers.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the router knows enough to serve callers and is not leaving.
    pub fn ready(&self) -> bool {
        !self.leaving && self.config.is_some() && self.targets_listed
    }

    /// Whether the router is shutting down.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Limits on what callers send.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|config| config.limits)
    }

    /// Decides whether a call may be served, and keeps it.
    ///
    /// # Errors
    ///
    /// The code of the final refusal; the call was not run.
    pub fn admit(
        &mut self,
        now: TimePoint,
        head: CallHead,
        content: ContentDigest,
    ) -> Result<AdmittedCall, NotRunCode> {
        let config = self.config.as_ref().ok_or(NotRunCode::TablesMissing)?;
        let hash = affinity_hash(head.id.as_bytes());
        let matched = config.match_route(&head.host, &head.path, hash);
        let matched = matched.ok_or(NotRunCode::UnknownRoute)?;
        let (account, account_rank) = account_of(config, matched.rule.public, &head)?;
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let deadline = head.deadline.min(now.after(matched.rule.timeout));
        let repeat = matched.rule.repeat;
        let live = LiveCall {
            route: matched.rule.name.clone(),
            pool: matched.pool.clone(),
            repeat,
            account,
            rank: account_rank.unwrap_or(matched.rule.rank),
            deadline,
            attempts_max: matched.rule.attempts_max.max(1),
            answer_target: matched.rule.answer_target,
            prompt: head.prompt,
            content,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            current: None,
            may_have_run: false,
        };
        let admitted = AdmittedCall {
            call,
            route: live.route.clone(),
            pool: live.pool.clone(),
            streams: repeat.streams(),
            resumable: repeat.streams() && repeat.repeatable(),
            version: config.version,
        };
        let bounds = self.window_bounds();
        self.budgets.entry(live.pool.clone()).or_default().on_call(now, &bounds);
        self.calls.insert(call, live);
        Ok(admitted)
    }

    /// State for views and metrics.
    pub fn status(&self, now: TimePoint) -> ForwardStatus {
        let targets = self.targets.iter().map(|(_, record)| TargetStatus {
            name: record.entry.name.clone(),
            own: record.own,
            others: self.peer_loads.load(record.hash),
            failure_rate: record.outcomes.rate(now),
            parts: self.holders.segment_count(record.hash),
            phase: record.life.phase(now),
        });
        let (bounds, routers) = (self.window_bounds(), self.router_count());
        let budgets = self.budgets.iter();
        let room = budgets.map(|(pool, budget)| (pool.clone(), budget.room(now, &bounds, routers)));
        ForwardStatus {
            version: self.config.as_ref().map(|config| config.version),
            adopted: self.adopted,
            calls: self.calls.len(),
            peers: self.peers.serving(now).count(),
            parts: self.holders.len(),
            leaving: self.leaving,
            retry_room: room.collect(),
            targets: targets.collect(),
        }
    }

    fn window_bounds(&self) -> WindowBounds {
        WindowBounds {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            span: self.bounds.retry_window,
        }
    }
}

type AccountRank = (Option<AccountName>, Option<u8>);

fn account_of(
    config: &FleetConfig,
    public: bool,
    head: &CallHead,
) -> Result<AccountRank, NotRunCode> {
    let known = head.account_key.and_then(|key| config.account(key));
    match known {
        Some((name, rank)) => Ok((Some(name.clone()), rank)),
        None if public || !config.needs_keys() => Ok((None, None)),
        None => Err(NotRunCode::KeyUnknown),
    }
}
