//! Places of calls at fragile targets, which fail for some seconds when they reject too many calls in a
//! second.
//!
//! Load pattern: callers send more than the targets of a pool can do, through so many routers that the part of
//! each in a target is less than one call. What a router knows by itself cannot keep such a target from
//! rejecting calls, and heartbeats are older than a call takes.
//!
//! One router keeps the places of each fragile target: rendezvous hashing (Thaler and Ravishankar, 1998) chooses it
//! among the routers that serve callers. A call is sent to the target only with a place that the keeper leased
//! to it; the call itself does not pass through the keeper. A keeper that does not answer leaves its
//! targets out for a moment, and the next one takes over once its heartbeats are missed.
//!
//! Invariant: the places that one keeper leases, with the calls without a place that it knows of, never exceed the
//! number that the target takes. Views of who the keeper is may differ for as long as a router counts as
//! alive after its last heartbeat; what heartbeats report of calls then bounds the excess.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use base_types::{HostName, LoadShare, NotRunCode, TargetKey, TimePoint, UnknownCode};
use policy_routing::{CostChoice, rendezvous_score, stable_hash};
use policy_targets::RejectionLimit;

use crate::{
    CallKey, DispatchStep, ForwardCore, FragileNotice, PlaceMessage, PlaceMessageKind, RecordTag,
    RouterEntry,
    call::CallState,
    core::refusals::refuse_until,
    places::{AskOutcome, ClaimState, FragilePool, LeaseKey, PlaceAsk, PlaceClaim, PlaceKeeper},
    targets::TargetRecord,
};

/// Time for which a pool counts as fragile after the latest answer that said so.
const FRAGILE_TTL: Duration = Duration::from_secs(5);

/// Time after the first statement in which answers without one may have been made before it.
const FIRST_STATEMENT_GRACE: Duration = Duration::from_millis(500);

/// Time for which an answer without a statement shows that its target is not fragile.
const PLAIN_ANSWER_TTL: Duration = Duration::from_secs(2);

/// Time within which a keeper answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a call waits for a place at one target.
const QUEUE_TIME: Duration = Duration::from_millis(100);

/// Time for which the targets of a keeper that did not answer are left out.
const SILENT_KEEPER_TTL: Duration = Duration::from_millis(250);

/// Consecutive questions without an answer after which a keeper counts as silent.
const UNANSWERED_ASKS_MAX: u32 = 2;

/// Time for which a target that had no place counts as fully loaded.
const FULL_TTL: Duration = Duration::from_millis(100);

/// Keepers that are asked for one attempt of a call.
const ASKS_MAX: u32 = 3;

/// Time for which a keeper is taken to be unchanged.
const KEEPER_TTL: Duration = Duration::from_millis(100);

/// Time after a router's start in which it leases no places until it knows of the calls of all others.
const LEARNING_TIME: Duration = Duration::from_millis(700);

/// Largest number of fragile pools; further ones are ignored.
const FRAGILE_POOLS_MAX: usize = 64;

/// Whether a call may be sent to a target.
pub(super) enum PlaceStep {
    /// It may be sent.
    Ready,
    /// The keeper answers by this time.
    Asked(TimePoint),
    /// The target has no place; another one may have.
    Full,
    /// No further keeper is asked.
    Exhausted,
}

impl ForwardCore {
    /// Rejections a second that a target bears; `None` if it is not fragile. A target that has not answered since
    /// it started counts as fragile if its pool is.
    pub(super) fn rejection_limit(
        &self,
        now: TimePoint,
        record: &TargetRecord,
    ) -> Option<RejectionLimit> {
        let pool = self.fragile_pools.get(&record.pool_hash)?;
        if pool.stated_at.after(FRAGILE_TTL).passed(now) {
            return None;
        }
        let Some(statement) = record.rejection_statement else { return Some(pool.bearable) };
        let is_plain = statement.limit.is_none()
            && pool.plain_from <= statement.stated_at
            && !statement.stated_at.after(PLAIN_ANSWER_TTL).passed(now);
        (!is_plain).then(|| statement.limit.unwrap_or(pool.bearable).min(pool.bearable))
    }

    /// Records that a target of a pool said that it is fragile, to this router or to another one.
    pub(super) fn on_fragile_pool(
        &mut self,
        now: TimePoint,
        pool_hash: u64,
        bearable: RejectionLimit,
        stated_at: TimePoint,
    ) {
        if stated_at.after(FRAGILE_TTL).passed(now) {
            return;
        }
        let is_bounded = self.fragile_pools.len() < FRAGILE_POOLS_MAX;
        match self.fragile_pools.get_mut(&pool_hash) {
            Some(pool) if pool.stated_at < stated_at => {
                (pool.bearable, pool.stated_at) = (bearable, stated_at);
            }
            None if is_bounded => {
                let plain_from = now.after(FIRST_STATEMENT_GRACE);
                let pool = FragilePool { bearable, stated_at, own_stated_at: None, plain_from };
                self.fragile_pools.insert(pool_hash, pool);
            }
            _ => {}
        }
    }

    /// Records that a target of a pool said in an answer to this router that it is fragile.
    pub(super) fn on_fragile_answer(
        &mut self,
        now: TimePoint,
        pool_hash: u64,
        bearable: RejectionLimit,
    ) {
        self.on_fragile_pool(now, pool_hash, bearable, now);
        if let Some(pool) = self.fragile_pools.get_mut(&pool_hash) {
            pool.own_stated_at = Some(now);
        }
    }

    /// Notices for heartbeats on the pools that answers to this router showed to be fragile. What others report is
    /// not passed on: its age would shrink by the time that each message takes, so that it would never end.
    pub(super) fn own_fragile_notices(&self, now: TimePoint) -> Vec<FragileNotice> {
        let own = self.fragile_pools.iter();
        let own = own.filter_map(|(hash, pool)| Some((*hash, pool, pool.own_stated_at?)));
        let notices = own.map(|(hash, pool, at)| fragile_notice(now, hash, pool, at));
        notices.collect()
    }

    /// Notices on all fragile pools, for a starting router.
    pub(super) fn fragile_notices(&self, now: TimePoint) -> Vec<FragileNotice> {
        let pools = self.fragile_pools.iter();
        pools.map(|(hash, pool)| fragile_notice(now, *hash, pool, pool.stated_at)).collect()
    }

    /// Handles what another router says of fragile pools.
    pub(super) fn on_fragile_notices(&mut self, now: TimePoint, notices: &[FragileNotice]) {
        for notice in notices {
            let age = u64::from(notice.age_ms) * 1_000;
            let stated_at = TimePoint(now.0.saturating_sub(age));
            self.on_fragile_pool(now, notice.pool_hash, RejectionLimit(notice.bearable), stated_at);
        }
    }

    /// Compares the leases of another router with the calls that its heartbeat reports.
    pub(super) fn compare_leases(&mut self, now: TimePoint, router: u64, share: &LoadShare) {
        if self.fragile_pools.is_empty() {
            return;
        }
        let loads = share.loads.iter().map(|load| (load.target_hash, load.in_flight));
        let loads: BTreeMap<u64, u32> = loads.collect();
        let pools = &self.fragile_pools;
        let records = self.targets.iter_mut().map(|(_, record)| record);
        for record in records.filter(|record| pools.contains_key(&record.pool_hash)) {
            let calls = loads.get(&record.target_hash).copied().unwrap_or(0);
            record.places.on_reported(now, router, calls);
        }
        let queues = self.targets.iter().filter(|(_, record)| record.places.has_queue());
        let waiting: Vec<TargetKey> = queues.map(|(target, _)| target).collect();
        self.freed_targets.extend(waiting);
    }

    /// Ends the leases of a start of a router that has ended; its calls have ended with it.
    pub(super) fn end_leases_of(&mut self, now: TimePoint, start: Option<u64>) {
        let Some(start) = start else { return };
        for (target, record) in self.targets.iter_mut() {
            if !record.places.is_empty() {
                record.places.sweep(now, |router| router != start);
                self.freed_targets.push(target);
            }
        }
    }

    /// Forgets pools that are no longer fragile, and leases of routers that have ended.
    pub(super) fn sweep_places(&mut self, now: TimePoint) {
        self.fragile_pools.retain(|_, pool| !pool.stated_at.after(FRAGILE_TTL).passed(now));
        let own = identity(&self.entry);
        let alive = self.peers.alive(now).map(identity).chain([own]);
        let alive: BTreeSet<u64> = alive.collect();
        let records = self.targets.iter_mut().map(|(_, record)| record);
        for record in records.filter(|record| !record.places.is_empty()) {
            record.places.sweep(now, |router| alive.contains(&router));
        }
    }

    /// Takes a place for a call at a target if the target is fragile, or asks the target's keeper for one.
    pub(super) fn take_place(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
        choice: &CostChoice,
    ) -> PlaceStep {
        let target = choice.target;
        match &state.place.claim {
            ClaimState::Unclaimed => {}
            ClaimState::Granted(_) => return PlaceStep::Ready,
            ClaimState::Asked(_, until) | ClaimState::Queued(_, until) if !until.passed(now) => {
                return PlaceStep::Asked(*until);
            }
            ClaimState::Queued(..) => {
                self.release_place(key, state, None);
                return PlaceStep::Exhausted;
            }
            ClaimState::Asked(..) => {
                self.release_place(key, state, None);
                state.place.full_targets.push(target);
                if let Some(record) = self.targets.get_mut(target) {
                    record.unanswered_asks += 1;
                    if record.unanswered_asks >= UNANSWERED_ASKS_MAX {
                        record.keeper_silent_until = now.after(SILENT_KEEPER_TTL);
                    }
                }
                return PlaceStep::Full;
            }
        }
        let Some(record) = self.targets.get(target) else { return PlaceStep::Full };
        let Some(limit) = self.rejection_limit(now, record) else { return PlaceStep::Ready };
        let target_hash = record.target_hash;
        let keeper = self.place_keeper(now, target);
        let claim = PlaceClaim { target, target_hash, keeper };
        // Another target may have a place that is free.
        let may_wait = choice.candidates <= 1 || state.place.asks + 1 >= ASKS_MAX;
        match &claim.keeper {
            PlaceKeeper::Own => self.take_own_place(now, key, state, claim, may_wait),
            PlaceKeeper::Peer(_) if state.place.asks >= ASKS_MAX => PlaceStep::Exhausted,
            PlaceKeeper::Peer(name) => {
                state.place.asks += 1;
                let left_ms = state.deadline.since(now).as_millis() as u32;
                let (bearable, rank) = (limit.0, state.rank);
                let age_ms = self.statement_age_ms(now, target);
                let kind = PlaceMessageKind::Ask { left_ms, bearable, age_ms, rank, may_wait };
                self.send_place_message(name, key.0, target_hash, kind);
                let until = now.after(ANSWER_TIMEOUT);
                state.place.claim = ClaimState::Asked(claim, until);
                PlaceStep::Asked(until)
            }
        }
    }

    /// Takes a place at a target whose places this router keeps, or queues the call.
    fn take_own_place(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
        claim: PlaceClaim,
        may_wait: bool,
    ) -> PlaceStep {
        let lease = LeaseKey { router: identity(&self.entry), call: key.0 };
        let (rank, ends_at) = (state.rank, state.deadline);
        let waits_until = may_wait.then(|| now.after(QUEUE_TIME).min(ends_at));
        let ask = PlaceAsk { lease, router: None, rank, ends_at, waits_until };
        match self.ask_for_place(now, claim.target, ask) {
            AskOutcome::Granted => {
                state.place.claim = ClaimState::Granted(claim);
                PlaceStep::Ready
            }
            AskOutcome::Queued => {
                let until = now.after(QUEUE_TIME);
                state.place.asks += 1;
                state.place.claim = ClaimState::Queued(claim, until);
                PlaceStep::Asked(until)
            }
            AskOutcome::Denied => {
                state.place.full_targets.push(claim.target);
                PlaceStep::Full
            }
        }
    }

    /// Releases the place that a call has or asked for; `rejected_at` says when the target declined the call.
    pub(super) fn release_place(
        &mut self,
        key: CallKey,
        state: &mut CallState,
        rejected_at: Option<TimePoint>,
    ) {
        let Some(PlaceClaim { target, target_hash, keeper }) = state.place.take_claim() else {
            return;
        };
        match keeper {
            PlaceKeeper::Own => {
                let lease = LeaseKey { router: identity(&self.entry), call: key.0 };
                if let Some(record) = self.targets.get_mut(target) {
                    record.places.end(lease);
                }
                if let Some(now) = rejected_at {
                    self.on_rejected(now, target);
                }
                self.freed_targets.push(target);
            }
            PlaceKeeper::Peer(name) => {
                let kind = PlaceMessageKind::Released { is_rejected: rejected_at.is_some() };
                self.send_place_message(&name, key.0, target_hash, kind);
            }
        }
    }

    /// Refuses a call for which no fragile target has a place; its caller may return when calls have ended.
    pub(super) fn refuse_without_place(
        &mut self,
        now: TimePoint,
        state: &CallState,
    ) -> DispatchStep {
        let Some(room) = self.next_room(now, state, |_| true) else {
            return self.refuse_without_target(now, state);
        };
        let return_at = self.queue_return(now, state, room);
        refuse_until(state, NotRunCode::TargetsFull, UnknownCode::TargetLost, return_at)
    }

    /// Handles a message about a place; returns the call that is to be dispatched again. A message of an
    /// unknown router, or of an earlier start of one, changes nothing.
    pub fn on_place_message(&mut self, now: TimePoint, message: PlaceMessage) -> Option<CallKey> {
        let PlaceMessage { sender, incarnation, call, target_hash, kind } = message;
        let entry = self.peers.find(&sender)?;
        if entry.incarnation != incarnation {
            return None;
        }
        let lease = LeaseKey { router: identity(entry), call };
        match kind {
            PlaceMessageKind::Ask { left_ms, bearable, age_ms, rank, may_wait } => {
                let ends_at = now.after(Duration::from_millis(u64::from(left_ms)));
                let waits_until = may_wait.then(|| now.after(QUEUE_TIME).min(ends_at));
                let ask = PlaceAsk { lease, router: Some(sender), rank, ends_at, waits_until };
                // The asking router may have seen the statement before this one.
                if let Some(record) = self.targets.find_by_hash(target_hash) {
                    let notice = FragileNotice { pool_hash: record.pool_hash, bearable, age_ms };
                    self.on_fragile_notices(now, &[notice]);
                }
                self.on_place_asked(now, target_hash, ask);
                None
            }
            PlaceMessageKind::Released { is_rejected } => {
                let target = self.targets.key_of_hash(target_hash)?;
                let is_ended = self.targets.get_mut(target)?.places.end_of_peer(now, lease);
                if is_ended && is_rejected {
                    self.on_rejected(now, target);
                }
                self.lease_to_queued(now, target);
                None
            }
            PlaceMessageKind::Granted
            | PlaceMessageKind::Queued { .. }
            | PlaceMessageKind::Denied => {
                self.on_place_answered(now, &sender, CallKey(call), target_hash, kind)
            }
        }
    }

    /// Messages about places that are to be sent, with the addresses of their receivers.
    pub fn take_place_messages(&mut self) -> Vec<(SocketAddr, PlaceMessage)> {
        std::mem::take(&mut self.place_messages)
    }

    /// Whether there are messages about places to be sent.
    pub fn has_place_messages(&self) -> bool {
        !self.place_messages.is_empty()
    }

    /// Leases places that have become free to calls that wait for them; returns the calls of this router that
    /// are to be dispatched again.
    pub(super) fn take_place_wakeups(&mut self, now: TimePoint) -> Vec<CallKey> {
        for target in std::mem::take(&mut self.freed_targets) {
            self.lease_to_queued(now, target);
        }
        std::mem::take(&mut self.place_wakeups)
    }

    /// Milliseconds since the latest answer that said that the pool of a target is fragile.
    fn statement_age_ms(&self, now: TimePoint, target: TargetKey) -> u32 {
        let record = self.targets.get(target);
        let pool = record.and_then(|record| self.fragile_pools.get(&record.pool_hash));
        pool.map_or(u32::MAX, |pool| now.since(pool.stated_at).as_millis() as u32)
    }

    fn on_place_asked(&mut self, now: TimePoint, target_hash: u64, ask: PlaceAsk) {
        let Some(sender) = ask.router.clone() else { return };
        let call = ask.lease.call;
        let outcome = match self.targets.key_of_hash(target_hash) {
            Some(target) if self.place_keeper(now, target) == PlaceKeeper::Own => {
                self.ask_for_place(now, target, ask)
            }
            _ => AskOutcome::Denied,
        };
        let kind = match outcome {
            AskOutcome::Granted => PlaceMessageKind::Granted,
            AskOutcome::Queued => {
                PlaceMessageKind::Queued { wait_ms: QUEUE_TIME.as_millis() as u16 }
            }
            AskOutcome::Denied => PlaceMessageKind::Denied,
        };
        self.send_place_message(&sender, call, target_hash, kind);
    }

    fn on_place_answered(
        &mut self,
        now: TimePoint,
        sender: &HostName,
        call: CallKey,
        target_hash: u64,
        kind: PlaceMessageKind,
    ) -> Option<CallKey> {
        let keeper = PlaceKeeper::Peer(sender.clone());
        let state = self.calls.get_mut(&call);
        let asking = state.filter(|state| {
            matches!(
                &state.place.claim,
                ClaimState::Asked(claim, _) | ClaimState::Queued(claim, _)
                    if claim.target_hash == target_hash && claim.keeper == keeper
            )
        });
        let Some(state) = asking else {
            if kind == PlaceMessageKind::Granted && !self.holds_place(call, target_hash) {
                // The call went on without waiting for the answer.
                let kind = PlaceMessageKind::Released { is_rejected: false };
                self.send_place_message(sender, call.0, target_hash, kind);
            }
            return None;
        };
        let claim = state.place.take_claim()?;
        match kind {
            PlaceMessageKind::Granted => state.place.claim = ClaimState::Granted(claim),
            PlaceMessageKind::Queued { wait_ms } => {
                let wait = Duration::from_millis(u64::from(wait_ms)).min(QUEUE_TIME);
                let until = now.after(wait + ANSWER_TIMEOUT);
                state.place.claim = ClaimState::Queued(claim, until);
            }
            _ => {
                state.place.full_targets.push(claim.target);
                if let Some(record) = self.targets.get_mut(claim.target) {
                    record.full_until = now.after(FULL_TTL);
                }
            }
        }
        if let Some(record) = self.targets.find_by_hash_mut(target_hash) {
            record.unanswered_asks = 0;
        }
        Some(call)
    }

    /// Whether a call has a place at a target, so that a second grant is a copy of the first.
    fn holds_place(&self, call: CallKey, target_hash: u64) -> bool {
        let claim = self.calls.get(&call).map(|state| &state.place.claim);
        matches!(claim, Some(ClaimState::Granted(claim)) if claim.target_hash == target_hash)
    }

    /// Leases a place at a target whose places this router keeps to a call, or queues the call.
    fn ask_for_place(&mut self, now: TimePoint, target: TargetKey, ask: PlaceAsk) -> AskOutcome {
        let Some(places) = self.open_to_leases(now, target) else { return AskOutcome::Granted };
        let Some(record) = self.targets.get_mut(target) else { return AskOutcome::Denied };
        let target_hash = record.target_hash;
        let (outcome, displaced) = record.places.ask(now, ask, places);
        if let Some(displaced) = displaced {
            self.answer_queued(target, target_hash, displaced, PlaceMessageKind::Denied);
        }
        outcome
    }

    /// Leases places that are free to calls that wait for them.
    fn lease_to_queued(&mut self, now: TimePoint, target: TargetKey) {
        loop {
            if !self.targets.get(target).is_some_and(|record| record.places.has_queue()) {
                return;
            }
            let places = self.open_to_leases(now, target).unwrap_or(u32::MAX);
            let Some(record) = self.targets.get_mut(target) else { return };
            let target_hash = record.target_hash;
            let Some(ask) = record.places.next_queued(now, places) else { return };
            self.answer_queued(target, target_hash, ask, PlaceMessageKind::Granted);
        }
    }

    /// Tells a call that waited for a place what became of that.
    fn answer_queued(
        &mut self,
        target: TargetKey,
        target_hash: u64,
        ask: PlaceAsk,
        kind: PlaceMessageKind,
    ) {
        let PlaceAsk { lease, router, .. } = ask;
        if let Some(router) = router {
            return self.send_place_message(&router, lease.call, target_hash, kind);
        }
        let call = CallKey(lease.call);
        let place = self.calls.get_mut(&call).map(|state| &mut state.place);
        match place {
            Some(place) => {
                if let Some(claim) = place.take_claim() {
                    match kind {
                        PlaceMessageKind::Granted => place.claim = ClaimState::Granted(claim),
                        _ => place.full_targets.push(target),
                    }
                }
                self.place_wakeups.push(call);
            }
            None => {
                if let Some(record) = self.targets.get_mut(target) {
                    record.places.end(lease);
                }
            }
        }
    }

    /// Calls that may hold leases at a target whose places this router keeps; `None` if it is not fragile.
    fn open_to_leases(&self, now: TimePoint, target: TargetKey) -> Option<u32> {
        let record = self.targets.get(target)?;
        let bearable = self.rejection_limit(now, record)?;
        let routers = self.router_count();
        let live = self.peers.alive(now).count() as u32 + 1;
        let is_learning =
            !self.is_first_start && !self.first_config_at.after(LEARNING_TIME).passed(now);
        if is_learning && live < routers {
            return Some(0);
        }
        let mut places = record.places.limit.places(now, record.entry.slots, bearable);
        // A router that hears less than half of the others is probably cut off from them, and their calls from it.
        if live * 2 < routers {
            places = places.div_ceil(routers);
        }
        let leased = record.places.leased_to(identity(&self.entry));
        Some(places.saturating_sub(record.own_in_flight.saturating_sub(leased)))
    }

    /// Records that a target, whose places this router keeps, declined a call.
    fn on_rejected(&mut self, now: TimePoint, target: TargetKey) {
        let Some(record) = self.targets.get(target) else { return };
        if self.rejection_limit(now, record).is_none() {
            return;
        }
        let leased = record.places.leased_to(identity(&self.entry));
        let own_unleased = record.own_in_flight.saturating_sub(leased);
        let held = record.places.taken(now).saturating_add(own_unleased);
        let Some(record) = self.targets.get_mut(target) else { return };
        record.places.limit.on_rejected(now, held, record.entry.slots);
    }

    /// The router that keeps the places of a target.
    fn place_keeper(&mut self, now: TimePoint, target: TargetKey) -> PlaceKeeper {
        let Some(record) = self.targets.get(target) else { return PlaceKeeper::Own };
        if let Some((keeper, until)) = &record.place_keeper
            && !until.passed(now)
        {
            return keeper.clone();
        }
        let score = |entry: &RouterEntry| {
            let hash = stable_hash(entry.name.as_str().as_bytes());
            rendezvous_score(record.target_hash, hash, 1)
        };
        let peers = self.peers.serving_readers(now, RecordTag::FragilePools);
        let best = peers.map(|entry| (score(entry), entry)).max_by(|(one, _), (other, _)| {
            one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal)
        });
        let keeper = match best {
            Some((best, entry)) if !self.ready() || score(&self.entry) < best => {
                PlaceKeeper::Peer(entry.name.clone())
            }
            _ => PlaceKeeper::Own,
        };
        if let Some(record) = self.targets.get_mut(target) {
            record.place_keeper = Some((keeper.clone(), now.after(KEEPER_TTL)));
        }
        keeper
    }

    fn send_place_message(
        &mut self,
        receiver: &HostName,
        call: u64,
        target_hash: u64,
        kind: PlaceMessageKind,
    ) {
        let Some(entry) = self.peers.find(receiver) else { return };
        let (sender, incarnation) = (self.entry.name.clone(), self.entry.incarnation);
        let message = PlaceMessage { sender, incarnation, call, target_hash, kind };
        // A place stays idle for a while if the message that leases or releases it is lost.
        if let PlaceMessageKind::Granted | PlaceMessageKind::Released { .. } = kind {
            self.place_messages.push((entry.peer_address, message.clone()));
        }
        self.place_messages.push((entry.peer_address, message));
    }
}

fn fragile_notice(
    now: TimePoint,
    pool_hash: u64,
    pool: &FragilePool,
    stated_at: TimePoint,
) -> FragileNotice {
    let age_ms = now.since(stated_at).as_millis() as u32;
    FragileNotice { pool_hash, bearable: pool.bearable.0, age_ms }
}

/// Identifies one start of a router.
pub(super) fn identity(entry: &RouterEntry) -> u64 {
    stable_hash(entry.name.as_str().as_bytes()) ^ entry.incarnation
}
