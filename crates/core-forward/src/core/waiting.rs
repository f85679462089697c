//! Whether a call waits for a target with room, and which call goes next.
//!
//! Load pattern: the calls of all routers exceed what the targets of a pool run at once, while a
//! router knows the calls of others only from heartbeats that are up to half a second old.
//!
//! What is assumed of calls that others sent since: a place that a call of this router left is its
//! own until a heartbeat reports it free; a router with more than an equal share of the places leaves
//! every fourth to the others. Places that all routers know to be free are shared: in
//! each interval between heartbeats a router takes its part of those of each target, rounded up or down
//! by a hash of the router, the target and the interval, so that not all take the last place at once. Below half of
//! the places nothing is held back.
//!
//! Invariant: while a call waits, a later one of its pool is sent only after the first in the order.

use std::time::Duration;

use base_types::{
    AccountName, NotRunCode, PoolName, RequestKey, TargetKey, TimePoint, UnknownCode,
};
use policy_admission::{PoolRoom, ShedReason, WaitEstimate, WaitingCall};
use policy_routing::{CostView, stable_hash, unit_hash};

use crate::{
    CallKey, DispatchStep, ForwardCore, PoolWaits, WaitInputs,
    call::CallState,
    core::refusals::refuse_until,
    heartbeat_interval,
    targets::TargetRecord,
    waiting::{CallWait, PoolWaiting},
};

/// Time after which the next call to start looks for room again, as some room comes with time alone.
const HEAD_INTERVAL: Duration = Duration::from_millis(25);

/// Divisor of the remaining time of a call that gives its longest wait.
const WAIT_DIVISOR: u32 = 2;

/// Time that a call is assumed to take before any has ended.
const SERVICE_TIME_DEFAULT: Duration = Duration::from_secs(1);

/// Expected work of a call without prompt metadata, in tokens.
const WORK_DEFAULT: u32 = 1;

/// Factors of the part of free places that a router takes, so that places pass from routers with more
/// than an equal share of them to those with less.
const ABOVE_SHARE_WEIGHT: f64 = 0.25;
const BELOW_SHARE_WEIGHT: f64 = 2.0;

/// Part of the interval between heartbeats after which a router with news sends one early.
const EARLY_HEARTBEAT_DIVISOR: u32 = 4;

/// Shortest mean time of a call, in seconds, that is used.
const SERVICE_TIME_MIN_S: f64 = 0.001;

/// Places at the targets of a pool, and this router's part of those that are free.
#[derive(Debug, Clone, Copy)]
struct RoomShare {
    places: u64,
    taken: u64,
    /// Places with calls of this router.
    own: u64,
    /// Calls that the router may start at all targets together.
    open_max: u64,
    /// Calls a second that the targets finish while all places are taken.
    fleet_rate: f64,
    /// The router's part of each place that all routers know to be free; `None` while it may take
    /// any.
    part: Option<f64>,
    /// Number of the interval between heartbeats.
    turn: u64,
    /// Hash of the router and the turn.
    turn_hash: u64,
}

/// Room at the targets of a pool, and whether there is any target.
#[derive(Debug, Clone, Copy)]
struct PoolView {
    room: PoolRoom,
    has_target: bool,
}

impl ForwardCore {
    /// Whether calls that find no target with room wait.
    pub fn is_queueing(&self, now: TimePoint) -> bool {
        self.bounds.queueing && self.is_adaptive(now)
    }

    /// Returns the calls to dispatch again because they may start, or because they lost their place:
    /// the next call of each pool with room, and those that waited for a place at a fragile target. To be called
    /// after each change of the room.
    pub fn take_startable(&mut self, now: TimePoint) -> Vec<CallKey> {
        let mut startable = self.take_place_wakeups(now);
        let names: Vec<PoolName> = self.waiting.keys().cloned().collect();
        for name in names {
            let Some(mut pool) = self.waiting.remove(&name) else { continue };
            startable.append(&mut pool.displaced);
            if let Some(next) = pool.queue.next(now)
                && (self.shutting_down
                    || !self.is_queueing(now)
                    || self.pool_view(now, &name, &pool).room.open > 0)
            {
                startable.push(CallKey(next.0 as u64));
            }
            self.waiting.insert(name, pool);
        }
        startable
    }

    /// Forgets pools that the configuration no longer has and in which no call waits.
    pub(super) fn sweep_waiting(&mut self) {
        let pools = self.config.as_ref().map(|config| &config.pools);
        let is_listed = |name: &PoolName| pools.is_some_and(|pools| pools.contains_key(name));
        self.waiting.retain(|name, pool| is_listed(name) || !pool.queue.is_empty());
    }

    /// Inputs of the latest decision to have a call wait, or to refuse it instead.
    pub fn wait_inputs(&self, key: CallKey) -> Option<WaitInputs> {
        self.calls.get(&key)?.wait_inputs
    }

    pub(super) fn waits(&self) -> Vec<PoolWaits> {
        let pools = self.waiting.iter();
        let waits = pools.flat_map(|(name, pool)| {
            let ranks = pool.queue.ranks().into_iter();
            ranks.map(|(rank, calls)| PoolWaits { pool: name.clone(), rank, calls })
        });
        waits.collect()
    }

    /// Gives up the place of a call in the queue.
    pub(super) fn leave_queue(&mut self, key: CallKey, state: &mut CallState) {
        if state.wait.take().is_some()
            && let Some(pool) = self.waiting.get_mut(&state.pool)
        {
            pool.queue.leave(request_key(key));
        }
    }

    /// Has a call wait or refuses it; `None` if it may be sent now.
    pub(super) fn waiting_step(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
    ) -> Option<DispatchStep> {
        if !self.is_queueing(now) {
            return None;
        }
        let mut pool = self.waiting.remove(&state.pool).unwrap_or_default();
        let step = self.wait_or_start(now, key, state, &mut pool);
        self.waiting.insert(state.pool.clone(), pool);
        step
    }

    fn wait_or_start(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
        pool: &mut PoolWaiting,
    ) -> Option<DispatchStep> {
        let request = request_key(key);
        while pool.queue.pop_expired(now).is_some() {}
        let PoolView { room, has_target } = self.pool_view(now, &state.pool, pool);
        let Some(wait) = state.wait else {
            if room.open > 0 && pool.queue.is_empty() {
                return None;
            }
            return self.start_wait(now, key, state, pool, room, has_target);
        };
        if !pool.queue.contains(request) {
            let is_over = wait.start_by.passed(now);
            let reason = if is_over { ShedReason::WaitedTooLong } else { ShedReason::Displaced };
            return shed_unless_tried(now, state, pool, &room, wait, (reason, None));
        }
        let is_next = pool.queue.next(now) == Some(request);
        if is_next && room.open > 0 {
            pool.queue.start(now, request);
            return None;
        }
        if self.shutting_down {
            let reason = (ShedReason::Stopping, None);
            return shed_unless_tried(now, state, pool, &room, wait, reason);
        }
        Some(wait_step(now, wait, is_next))
    }

    /// Queues a call that may not be sent now.
    fn start_wait(
        &mut self,
        now: TimePoint,
        key: CallKey,
        state: &mut CallState,
        pool: &mut PoolWaiting,
        room: PoolRoom,
        has_target: bool,
    ) -> Option<DispatchStep> {
        let is_retry = state.attempts > 0 || state.unsent_attempts > 0 || state.may_have_run;
        let wait = CallWait { start_by: latest_start(now, state, pool), is_retry };
        if !has_target {
            let is_untried = |target| !state.attempted_targets.contains(&target);
            let next_room = self.next_room(now, state, is_untried);
            if next_room.is_none_or(|next_room| next_room.at > wait.start_by) {
                return None;
            }
        }
        let call = WaitingCall {
            call: request_key(key),
            rank: state.rank,
            is_retry,
            account: state.account.clone().unwrap_or_else(|| AccountName::new("")),
            work: expected_work(state),
            start_by: wait.start_by,
        };
        let estimate = pool.queue.estimate(now, &call, &room);
        if self.shutting_down {
            let reason = (ShedReason::Stopping, Some(estimate));
            return shed_unless_tried(now, state, pool, &room, wait, reason);
        }
        match pool.queue.push(now, call, &room) {
            Ok(displaced) => {
                pool.displaced.extend(displaced.map(|call| CallKey(call.0 as u64)));
                state.wait = Some(wait);
                state.wait_inputs =
                    Some(wait_inputs(state, pool, &room, wait, None, Some(estimate)));
                let is_next = pool.queue.next(now) == Some(request_key(key));
                if is_next && room.open > 0 {
                    pool.queue.start(now, request_key(key));
                    return None;
                }
                Some(wait_step(now, wait, is_next))
            }
            Err(reason) => {
                shed_unless_tried(now, state, pool, &room, wait, (reason, Some(estimate)))
            }
        }
    }

    /// Excludes targets without room for this router's calls if another one that takes the call has
    /// some.
    pub(super) fn prefer_room(&self, now: TimePoint, name: &PoolName, views: &mut [CostView]) {
        let queue_is_empty = self.waiting.get(name).is_none_or(|pool| pool.queue.is_empty());
        let service_time = self.waiting.get(name).and_then(|pool| pool.service_time.get());
        let share = self.room_share(now, name, queue_is_empty, service_time);
        let has_room = |view: &CostView| {
            let record = self.targets.get(view.target);
            record.is_some_and(|record| self.open_places(now, record, &share) > 0)
        };
        let is_usable = |view: &CostView| !view.excluded && !view.unreachable && !view.ejected;
        if views.iter().any(|view| is_usable(view) && has_room(view)) {
            for view in views {
                view.excluded |= !has_room(view);
            }
        }
    }

    /// Counts a call that is sent to a target against this router's part of its room.
    pub(super) fn count_start(&mut self, now: TimePoint, target: TargetKey) {
        if self.is_queueing(now) {
            let turn = self.room_turn(now);
            let record = self.targets.get_mut(target);
            record.into_iter().for_each(|record| record.place_use.count_start(turn));
        }
    }

    /// Counts a place that a call left.
    pub(super) fn count_freed_place(&mut self, state: &CallState, target: TargetKey) {
        if !self.waiting.contains_key(&state.pool) {
            return;
        }
        let is_above_share = self.is_above_share(&state.pool);
        let pool = self.waiting.get_mut(&state.pool);
        if pool.is_some_and(|pool| pool.keeps_freed_place(is_above_share))
            && let Some(record) = self.targets.get_mut(target)
        {
            record.place_use.freed += 1;
        }
    }

    /// Whether this router has more calls at the targets of a pool than an equal share of their slots.
    pub(super) fn is_above_share(&self, name: &PoolName) -> bool {
        let (mut places, mut own) = (0u64, 0u64);
        let records = self.targets.iter().map(|(_, record)| record);
        for record in records.filter(|record| record.entry.pool == *name) {
            places += u64::from(record.entry.slots);
            own += u64::from(record.own_in_flight);
        }
        own > places.div_ceil(u64::from(self.router_count()))
    }

    /// Time after which the other routers know of this router's calls.
    fn room_interval(&self) -> Duration {
        let routers = self.router_count();
        let is_early = routers <= super::beats::LOAD_NEWS_ROUTERS_MAX;
        heartbeat_interval(routers) / if is_early { EARLY_HEARTBEAT_DIVISOR } else { 1 }
    }

    fn room_turn(&self, now: TimePoint) -> u64 {
        now.0 / self.room_interval().as_micros().max(1) as u64
    }

    /// Targets of a pool that calls are sent to; ejected and unreachable ones only if there are no
    /// others.
    fn usable_targets<'core>(
        &'core self,
        now: TimePoint,
        name: &'core PoolName,
    ) -> impl Iterator<Item = &'core TargetRecord> {
        let usable = move || {
            let responding = self.targets.responding(now, name).map(|(_, record)| record);
            responding.filter(move |record| {
                record.can_be_sent_calls(now) && self.is_contender(now, record)
            })
        };
        let is_healthy =
            move |record: &TargetRecord| !record.is_ejected(now) && !record.is_unreachable(now);
        let has_healthy = usable().any(is_healthy);
        usable().filter(move |record| !has_healthy || is_healthy(record))
    }

    fn load_of(&self, record: &TargetRecord) -> u32 {
        record.own_in_flight.saturating_add(self.peer_loads.load(record.target_hash))
    }

    fn pool_view(&self, now: TimePoint, name: &PoolName, pool: &PoolWaiting) -> PoolView {
        let service_time = pool.service_time.get();
        let share = self.room_share(now, name, pool.queue.is_empty(), service_time);
        let open =
            self.usable_targets(now, name).map(|record| self.open_places(now, record, &share));
        let open = open.fold(0, u64::saturating_add).min(share.open_max);
        let routers = f64::from(self.router_count());
        let own_part = if share.taken > 0 { share.own as f64 / share.taken as f64 } else { 0.0 };
        let room = PoolRoom {
            places: share.places,
            taken: share.taken,
            open,
            starts_per_s: share.fleet_rate * own_part.max(1.0 / routers),
        };
        PoolView { room, has_target: self.usable_targets(now, name).next().is_some() }
    }

    /// Sums over the targets of a pool, and how routers share what is free.
    fn room_share(
        &self,
        now: TimePoint,
        name: &PoolName,
        queue_is_empty: bool,
        service_time: Option<Duration>,
    ) -> RoomShare {
        let (mut places, mut taken, mut own, mut free) = (0u64, 0u64, 0u64, 0u64);
        for record in self.usable_targets(now, name) {
            let Some(calls) = record.comfortable_calls(now) else { continue };
            let load = self.load_of(record);
            places += u64::from(calls);
            taken += u64::from(load);
            own += u64::from(record.own_in_flight);
            free += u64::from(calls.saturating_sub(load));
        }
        let routers = u64::from(self.router_count());
        let known = self.peer_loads.routers() as u64 + 1;
        let mut open_max = u64::MAX;
        // A router that receives heartbeats of half of the others or fewer is probably partitioned from
        // them, so that the silent ones are assumed to have as many calls as the known ones. Otherwise the
        // silent ones have failed, and their calls come back through known routers.
        if known * 2 <= routers {
            taken = taken.saturating_mul(routers) / known;
            open_max = places.saturating_sub(taken).max(u64::from(own == 0 && free > 0));
        }
        let service_time = service_time.unwrap_or(SERVICE_TIME_DEFAULT).as_secs_f64();
        let fleet_rate = places as f64 / service_time.max(SERVICE_TIME_MIN_S);
        // While calls wait, they wait at all routers; else those contend that have a call to send.
        let contenders = if queue_is_empty {
            (fleet_rate * self.room_interval().as_secs_f64()).clamp(1.0, routers as f64)
        } else {
            routers as f64
        };
        let is_above_share = own > places.div_ceil(routers);
        let weight = if is_above_share { ABOVE_SHARE_WEIGHT } else { BELOW_SHARE_WEIGHT };
        let is_shared = taken * 2 >= places && routers > 1;
        let part = is_shared.then_some(weight / contenders);
        let turn = self.room_turn(now);
        let turn_hash =
            stable_hash(self.entry.name.as_str().as_bytes()) ^ stable_hash(&turn.to_le_bytes());
        RoomShare { places, taken, own, open_max, fleet_rate, part, turn, turn_hash }
    }

    /// Calls that this router may send to a target now, see the module's head.
    fn open_places(&self, now: TimePoint, record: &TargetRecord, share: &RoomShare) -> u64 {
        let Some(calls) = record.comfortable_calls(now) else { return u64::MAX };
        let free = u64::from(calls.saturating_sub(self.load_of(record)));
        let Some(part) = share.part.filter(|_| free > 0) else { return free };
        let started = record.place_use.shared_starts(share.turn);
        let freed = record.place_use.freed;
        let shared = (free + started).saturating_sub(freed);
        let own_part =
            (shared as f64 * part + unit_hash(share.turn_hash ^ record.target_hash)).floor() as u64;
        free.min((freed + own_part).saturating_sub(started))
    }
}

fn request_key(key: CallKey) -> RequestKey {
    RequestKey(u128::from(key.0))
}

fn wait_step(now: TimePoint, wait: CallWait, is_next: bool) -> DispatchStep {
    let next_look = if is_next { now.after(HEAD_INTERVAL) } else { TimePoint::NEVER };
    DispatchStep::Wait(wait.start_by.min(next_look))
}

/// Returns the time until which a call may wait: no longer than half of its remaining time, and so
/// that its answer can still start before its deadline.
fn latest_start(now: TimePoint, state: &CallState, pool: &PoolWaiting) -> TimePoint {
    let answer_time = if state.retry_rule.is_streaming() {
        pool.first_answer_time.get()
    } else {
        pool.service_time.get()
    };
    let answer_time = answer_time.unwrap_or(state.latency_target);
    let left = state.deadline.since(now);
    now.after((left / WAIT_DIVISOR).min(left.saturating_sub(answer_time)))
}

fn expected_work(state: &CallState) -> u32 {
    let prompt = state.prompt.as_ref();
    prompt.map_or(WORK_DEFAULT, |prompt| prompt.input_tokens.saturating_add(prompt.output_tokens))
}

fn wait_inputs(
    state: &CallState,
    pool: &PoolWaiting,
    room: &PoolRoom,
    wait: CallWait,
    shed: Option<ShedReason>,
    estimate: Option<WaitEstimate>,
) -> WaitInputs {
    WaitInputs {
        rank: state.rank,
        is_retry: wait.is_retry,
        waiting: pool.queue.len(),
        room: *room,
        estimate,
        start_by: wait.start_by,
        shed,
    }
}

/// Refuses a call that cannot wait. One that was tried is sent instead, although no target has room,
/// as its earlier attempt may have run it and its answer is worth more than its place.
fn shed_unless_tried(
    now: TimePoint,
    state: &mut CallState,
    pool: &mut PoolWaiting,
    room: &PoolRoom,
    wait: CallWait,
    (reason, estimate): (ShedReason, Option<WaitEstimate>),
) -> Option<DispatchStep> {
    if wait.is_retry {
        return None;
    }
    state.wait_inputs = Some(wait_inputs(state, pool, room, wait, Some(reason), estimate));
    let return_at = pool.queue.next_return(now, state.rank, state.deadline, room);
    Some(refuse_until(state, NotRunCode::TargetsFull, UnknownCode::TargetLost, return_at))
}
