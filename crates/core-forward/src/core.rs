//! State machine of one forwarding router.

mod beats;
mod callers;
mod cold;
mod detours;
mod dispatch;
mod ends;
mod evacuations;
mod links;
mod listing;
mod places;
mod records;
mod refusals;
mod restores;
mod resumption;
mod snapshots;
mod speeds;
mod stopping;
mod waiting;

pub use self::beats::heartbeat_interval;
pub use self::ends::HeldAttempt;
pub use self::snapshots::{EngineAddress, PeerSnapshot, SegmentHolders};
pub use self::speeds::EVENT_REPORT_INTERVAL;
pub use self::stopping::StopSchedule;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use base_types::{
    AccountName, ContentDigest, ContentKey, HostName, NotRunCode, PoolName, RouteName, TargetKey,
    TimePoint, message_types,
};
use policy_admission::LongestTime;
use policy_retries::{WindowBounds, WindowBudget};
use policy_routing::{PeerLoads, SegmentDirectory, stable_hash};
use policy_targets::PoolPace;
use state_config::{CallerLimits, ConfigVersion, FleetConfig};

use self::callers::OwnCapacity;
use crate::{
    CallHead, CallKey, EvacuationChange, ForwardBounds, PeerFormat, PlaceMessage, PromptHead,
    RouterCapacity, RouterEntry, StreamResumption, TargetStatus,
    call::CallState,
    crashes::CrashReporter,
    detours::CallDetour,
    engine_memory::{CallSizes, call_tokens},
    evacuations::EvacuationTable,
    former_routes::FormerRoutes,
    limits::ReturnQueue,
    links::LinkChange,
    origins::{OriginTable, StreamSoftware},
    peers::PeerRegistry,
    places::{CallPlace, FragilePool},
    reports::ReportQueue,
    targets::TargetTable,
    waiting::{MeanTime, PoolWaiting, PoolWaits},
};

/// Prompt segments whose holders are kept; each takes about 300 bytes.
const DIRECTORY_SEGMENTS_MAX: usize = 4_096;

message_types! {
    /// Status of a router for views and metrics.
    pub struct ForwardStatus {
        /// Version of the configuration in force; `None` before the first one.
        pub version: Option<ConfigVersion>,
        /// Time at which this configuration was adopted.
        pub config_adopted_at: TimePoint,
        /// Calls admitted and not finished.
        pub calls_in_flight: usize,
        /// Other routers that serve callers and sent a heartbeat recently.
        pub serving_peers: usize,
        /// Other routers that sent a heartbeat recently, by the format that they read.
        pub peer_formats: Vec<(PeerFormat, usize)>,
        /// Prompt segments in the directory of holders.
        pub segments: usize,
        /// Pieces of content that are refused because targets crashed while they ran them.
        pub blocked_content: usize,
        /// Pools none of whose targets accepts connections of this router.
        pub unreachable_pools: usize,
        /// Streams whose origins are known.
        pub stream_origins: usize,
        /// Whether this router records the origins of streams in the platform.
        pub recording_origins: bool,
        /// Origins of streams that were dropped because too many were known.
        pub dropped_origins: u64,
        /// Failure domains that the operator has evacuated.
        pub evacuated_domains: usize,
        /// Whether the router is shutting down.
        pub shutting_down: bool,
        /// Capacity and load that this router reports; `None` if its settings state no resources.
        pub capacity: Option<RouterCapacity>,
        /// Routers in the last answer to a caller.
        pub last_named: usize,
        /// Retries left in this router's share of the retry budget, by pool.
        pub retries_left: Vec<(PoolName, u64)>,
        /// Calls that wait for room, by pool and rank.
        pub waits: Vec<PoolWaits>,
        /// Status of each target.
        pub targets: Vec<TargetStatus>,
    }

    /// Properties of an admitted call that forwarding depends on.
    pub struct AdmittedCall {
        /// Key of the call for later calls of [`ForwardCore`].
        pub call: CallKey,
        /// Route that the call matched.
        pub route: RouteName,
        /// Pool that the call is sent to.
        pub pool: PoolName,
        /// Whether the answer is a stream of events.
        pub is_stream: bool,
        /// Whether another target may resume the stream after the last event received.
        pub resumable: bool,
        /// Version of the configuration that the call was admitted under.
        pub version: ConfigVersion,
        /// The stream that the call resumes; `None` when it begins anew.
        pub resumption: Option<StreamResumption>,
        /// Whether another router sent the call.
        pub from_router: bool,
        /// Keys of the call's content that other calls may contain too.
        pub content_keys: Box<[ContentKey]>,
    }
}

/// Decisions and state of one forwarding router.
#[derive(Debug)]
pub struct ForwardCore {
    entry: RouterEntry,
    bounds: ForwardBounds,
    config: Option<FleetConfig>,
    former_routes: FormerRoutes,
    /// Time at which the first configuration was adopted.
    first_config_at: TimePoint,
    config_adopted_at: TimePoint,
    /// Whether the configuration comes from a snapshot, whose layout does not have all of it.
    is_config_partial: bool,
    shutting_down: bool,
    /// When the shutdown ends; `None` before it begins.
    stop_schedule: Option<StopSchedule>,
    /// Longest time that calls took of late, by route.
    longest_times: BTreeMap<RouteName, LongestTime>,
    targets: TargetTable,
    /// Latest known era of the platform; `None` before the first list.
    platform_era: Option<u16>,
    /// Whether a list of targets was received, from the platform or in a snapshot.
    targets_listed: bool,
    /// Whether the list of routers was received from the platform.
    routers_listed: bool,
    /// Time that work takes on the targets of each pool.
    paces: BTreeMap<PoolName, PoolPace>,
    /// Time until which a target's report of other work on its machine counts as recent.
    adaptive_until: TimePoint,
    /// The same by pool.
    reporting_until: BTreeMap<PoolName, TimePoint>,
    /// Earliest time of the next look at unanswered calls, to learn which targets are slow.
    next_overdue_at: TimePoint,
    peers: PeerRegistry,
    peer_loads: PeerLoads,
    retry_budgets: BTreeMap<PoolName, WindowBudget>,
    /// Sizes of the calls of each pool, where engines are guarded against calls that exceed their caches.
    call_sizes: BTreeMap<PoolName, CallSizes>,
    segments: SegmentDirectory,
    crashes: CrashReporter,
    return_queues: BTreeMap<PoolName, ReturnQueue>,
    /// Calls that wait for room, by pool; empty unless [`Self::is_queueing`].
    waiting: BTreeMap<PoolName, PoolWaiting>,
    /// Pools whose targets are fragile, by the hash of the pool's name.
    fragile_pools: BTreeMap<u64, FragilePool>,
    /// Messages about places at fragile targets that are to be sent.
    place_messages: Vec<(SocketAddr, PlaceMessage)>,
    /// Fragile targets at which a place has become free.
    freed_targets: Vec<TargetKey>,
    /// Calls of this router that waited for a place and are to be dispatched again.
    place_wakeups: Vec<CallKey>,
    /// Time that calls take at the targets of pools that are fragile.
    place_times: BTreeMap<PoolName, MeanTime>,
    /// Pairs of a prompt segment and a target hash that the other routers do not know yet.
    unreported_holders: Vec<(u64, u64)>,
    /// Pools none of whose targets accepts connections of this router.
    unreachable_pools: BTreeSet<PoolName>,
    /// Changes of `unreachable_pools` since they were last taken.
    link_changes: Vec<LinkChange>,
    /// Hashes of targets that announced to this router that they leave.
    unreported_leaving: ReportQueue<u64>,
    /// Names of targets that announced to other routers that they leave, since they were last taken.
    leaving_heard: Vec<HostName>,
    /// Changes of the list of evacuated failure domains since they were last taken.
    evacuation_changes: Vec<EvacuationChange>,
    /// Hashes of targets whose time of being cold the other routers may not know.
    unreported_cold: ReportQueue<u64>,
    /// Targets whose changes other routers reported first, since they were last taken.
    reported_changes: Vec<HostName>,
    origins: OriginTable,
    /// Whether the platform kept no record as the fleet started for the first time.
    is_first_start: bool,
    /// Whether content was blocked since this router started, so that the record may have blocks.
    has_known_blocks: bool,
    /// Time from which this router may be the recorder; `None` before it was first asked.
    recorder_from: Option<TimePoint>,
    /// Whether a call was sent since the last heartbeat to a pool without engines. Such targets run few
    /// calls at once, so that the others must soon know of each.
    has_plain_call: bool,
    calls: BTreeMap<CallKey, CallState>,
    next_call_key: u64,
    heartbeat_sequence: u64,
    capacity: OwnCapacity,
}

impl ForwardCore {
    /// Creates a router without a configuration or targets.
    pub fn new(entry: RouterEntry, bounds: ForwardBounds) -> Self {
        Self {
            entry,
            bounds,
            config: None,
            former_routes: FormerRoutes::default(),
            first_config_at: TimePoint(0),
            config_adopted_at: TimePoint(0),
            is_config_partial: false,
            shutting_down: false,
            stop_schedule: None,
            longest_times: BTreeMap::new(),
            targets: TargetTable::new(EvacuationTable::new(bounds.evacuations)),
            platform_era: None,
            targets_listed: false,
            routers_listed: false,
            paces: BTreeMap::new(),
            adaptive_until: TimePoint(0),
            reporting_until: BTreeMap::new(),
            next_overdue_at: TimePoint(0),
            peers: PeerRegistry::default(),
            peer_loads: PeerLoads::default(),
            retry_budgets: BTreeMap::new(),
            call_sizes: BTreeMap::new(),
            segments: SegmentDirectory::new(DIRECTORY_SEGMENTS_MAX),
            crashes: CrashReporter::default(),
            return_queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            fragile_pools: BTreeMap::new(),
            place_messages: Vec::new(),
            freed_targets: Vec::new(),
            place_wakeups: Vec::new(),
            place_times: BTreeMap::new(),
            unreported_holders: Vec::new(),
            unreachable_pools: BTreeSet::new(),
            link_changes: Vec::new(),
            unreported_leaving: ReportQueue::default(),
            leaving_heard: Vec::new(),
            evacuation_changes: Vec::new(),
            unreported_cold: ReportQueue::default(),
            reported_changes: Vec::new(),
            origins: OriginTable::default(),
            is_first_start: false,
            has_known_blocks: false,
            recorder_from: None,
            has_plain_call: false,
            calls: BTreeMap::new(),
            next_call_key: 0,
            heartbeat_sequence: 0,
            capacity: OwnCapacity::default(),
        }
    }

    /// Adopts a configuration; returns false when the same or a later version is in force.
    pub fn adopt_config(&mut self, now: TimePoint, config: FleetConfig) -> bool {
        let is_known = |current: &FleetConfig| {
            current.version > config.version
                || (current.version == config.version && !self.is_config_partial)
        };
        if self.config.as_ref().is_some_and(is_known) {
            return false;
        }
        self.is_config_partial = false;
        if self.config.is_none() {
            self.first_config_at = now;
        }
        if let Some(before) = &self.config {
            self.former_routes.on_replaced(now, before, &config);
        }
        self.config = Some(config);
        self.config_adopted_at = now;
        true
    }

    /// Handles the end of an outage of the platform; entries that expired during the outage get
    /// time to be listed again.
    pub fn on_platform_reconnected(&mut self, now: TimePoint) {
        self.targets.on_platform_reconnected(now);
    }

    /// Records that the platform responded, so that the list of targets is current.
    pub fn on_platform_responded(&mut self, now: TimePoint) {
        self.targets.software.on_platform_responded(now);
        self.origins.record.on_platform_call(false);
    }

    /// Records that the platform did not respond to this router, or turned it away.
    pub fn on_platform_failed(&mut self) {
        self.origins.record.on_platform_call(true);
    }

    /// Removes expired targets and load shares; to be called about once a second.
    pub fn sweep(&mut self, now: TimePoint) {
        for target_hash in self.targets.sweep(now) {
            self.segments.remove_target(target_hash);
        }
        self.sweep_evacuations(now);
        self.peer_loads.expire(now);
        self.sweep_speeds(now);
        self.peers.sweep(now);
        self.sweep_waiting();
        self.sweep_places(now);
        self.sweep_call_times(now);
        self.clear_content_of_long_answers(now);
        self.crashes.tracker.sweep(now);
        self.origins.sweep(now);
        self.former_routes.sweep(now);
    }

    /// Whether the router has a configuration and a target list, and is not shutting down.
    pub fn ready(&self) -> bool {
        let is_informed = self.targets_listed && self.targets.evacuations.is_known();
        !self.shutting_down && self.config.is_some() && is_informed
    }

    /// Whether the router is shutting down.
    pub fn shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Version of the configuration in force; `None` before the first one.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Limits on the size and the timing of callers' requests; `None` without a configuration.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|config| config.limits)
    }

    /// Decides whether a call may be served, and stores its state until [`Self::finish`].
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal; the call was not run.
    pub fn admit(
        &mut self,
        now: TimePoint,
        head: CallHead,
        content: ContentDigest,
    ) -> Result<AdmittedCall, NotRunCode> {
        if head.detour.as_ref().is_some_and(|claim| self.is_outdated_for(claim)) {
            return Err(NotRunCode::ConfigOutdated);
        }
        let config = self.config.as_ref().ok_or(NotRunCode::TablesMissing)?;
        let call_hash = stable_hash(head.id.as_bytes());
        let hash_id = |id: &str| stable_hash(id.as_bytes());
        let origin = head.resumption.as_ref().map(|stream| stream.origin.as_deref().map(hash_id));
        // A stream stays in the pool in which it began, where the route has several.
        let pool_hash = origin.flatten().unwrap_or(call_hash);
        let route_match = config.match_route(&head.host, &head.path, pool_hash);
        let route_match = route_match.ok_or(NotRunCode::UnknownRoute)?;
        let (account, account_rank) = resolve_account(config, route_match.rule.public, &head)?;
        let deadline = head.deadline.min(now.after(route_match.rule.timeout));
        if !self.can_end_by_stop(now, &route_match.rule.name, deadline) {
            return Err(NotRunCode::RouterLeaving);
        }
        let call = CallKey(self.next_call_key);
        self.next_call_key += 1;
        let retry_rule = route_match.rule.retry_rule;
        let stream_pools = match origin {
            Some(_) => self.stream_pools(now, &head, route_match.rule),
            None => None,
        };
        let resumable = retry_rule.is_streaming() && retry_rule.is_retryable();
        let content_keys = shared_content_keys(content, head.prompt.as_ref());
        let detour = head.detour.filter(|claim| self.is_own_detour_key(&claim.key));
        let state = CallState {
            route: route_match.rule.name.clone(),
            pool: route_match.pool.clone(),
            version: config.version,
            retry_rule,
            account,
            rank: account_rank.unwrap_or(route_match.rule.rank),
            deadline,
            attempts_max: route_match.rule.attempts_max.max(1),
            latency_target: route_match.rule.latency_target,
            prompt: head.prompt,
            content,
            call_hash,
            caller_deadline: head.deadline,
            admitted_at: now,
            software: match origin {
                Some(origin) if resumable => StreamSoftware::Unresolved(origin),
                _ => StreamSoftware::Any,
            },
            stream_pools,
            origin_settled_at: TimePoint(0),
            content_keys: content_keys.clone(),
            attempted_targets: Vec::new(),
            attempts: detour.as_ref().map_or(0, |claim| claim.attempts),
            unsent_attempts: 0,
            current_attempt: None,
            detour: CallDetour::new(detour.is_some()),
            wait: None,
            wait_inputs: None,
            place: CallPlace::default(),
            may_have_run: false,
        };
        let admitted = AdmittedCall {
            call,
            route: state.route.clone(),
            pool: state.pool.clone(),
            is_stream: retry_rule.is_streaming(),
            resumable,
            version: config.version,
            from_router: detour.is_some(),
            resumption: head.resumption,
            content_keys,
        };
        if self.bounds.engine_memory_guard {
            let tokens = call_tokens(state.prompt.as_ref());
            self.call_sizes.entry(state.pool.clone()).or_default().on_call(tokens);
        }
        // The router that sent the call has counted it.
        if !admitted.from_router {
            let bounds = self.retry_bounds(now);
            self.retry_budgets.entry(state.pool.clone()).or_default().on_call(now, &bounds);
        }
        self.calls.insert(call, state);
        Ok(admitted)
    }

    /// Returns the status for views and metrics.
    pub fn status(&self, now: TimePoint) -> ForwardStatus {
        let targets = self.targets.iter().map(|(_, record)| TargetStatus {
            name: record.entry.name.clone(),
            own_in_flight: record.own_in_flight,
            peer_in_flight: self.peer_loads.load(record.target_hash),
            failure_rate: record.failure_rate.rate(now),
            rate_limit: record.allowance.limit().rate,
            rejection_limit: record.rejection_statement.and_then(|statement| statement.limit),
            leased_places: record.places.leased(),
            declined_calls: record.declined_calls,
            speed: self
                .uses_speeds(now, &record.entry.pool)
                .then(|| record.speed_estimate(now, true)),
            cached_segments: self.segments.segment_count(record.target_hash),
            phase: record.lifecycle.phase(now),
            is_evacuated: record.is_evacuated,
            cold_until: record.cold_until,
        });
        let (bounds, routers) = (self.retry_bounds(now), self.router_count());
        let budgets = self.retry_budgets.iter();
        let retries_left =
            budgets.map(|(pool, budget)| (pool.clone(), budget.remaining(now, &bounds, routers)));
        ForwardStatus {
            version: self.config.as_ref().map(|config| config.version),
            config_adopted_at: self.config_adopted_at,
            calls_in_flight: self.calls.len(),
            serving_peers: self.peers.serving(now).count(),
            peer_formats: self.peers.by_format(now).into_iter().collect(),
            segments: self.segments.len(),
            blocked_content: self.crashes.tracker.blocks().count(),
            unreachable_pools: self.unreachable_pools.len(),
            stream_origins: self.origins.len(),
            recording_origins: self.is_recording_origins(),
            dropped_origins: self.origins.dropped(),
            evacuated_domains: self.targets.evacuations.domains().count(),
            shutting_down: self.shutting_down,
            capacity: self.own_capacity(),
            last_named: self.capacity.last_named,
            retries_left: retries_left.collect(),
            waits: self.waits(),
            targets: targets.collect(),
        }
    }

    /// Bounds of the retry budget. A restarted router may have spent its slack just before, so it has
    /// none until that is out of the window.
    fn retry_bounds(&self, now: TimePoint) -> WindowBounds {
        let has_slack =
            self.is_first_start || self.first_config_at.after(self.bounds.retry_window).passed(now);
        WindowBounds {
            ratio: self.bounds.retry_ratio,
            slack: if has_slack { self.bounds.retry_slack } else { 0 },
            window: self.bounds.retry_window,
        }
    }
}

/// Returns the key of the entire request and those of its prompt segments, without the last one,
/// which belongs to the call alone.
fn shared_content_keys(content: ContentDigest, prompt: Option<&PromptHead>) -> Box<[ContentKey]> {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    let shared_segments = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let segment_keys = shared_segments.iter().map(|segment| ContentKey(segment.id));
    std::iter::once(ContentKey::of_request(content)).chain(segment_keys).collect()
}

type AccountRank = (Option<AccountName>, Option<u8>);

fn resolve_account(
    config: &FleetConfig,
    public: bool,
    head: &CallHead,
) -> Result<AccountRank, NotRunCode> {
    let account = head.account_key.and_then(|key| config.account(key));
    match account {
        Some((name, rank)) => Ok((Some(name.clone()), rank)),
        None if public || !config.requires_account_key() => Ok((None, None)),
        None => Err(NotRunCode::KeyUnknown),
    }
}
