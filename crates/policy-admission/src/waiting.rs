//! Order and bounds of the calls that wait in a router for a target of their pool with room.
//!
//! Load pattern: for seconds at a time, callers send up to twice what the targets of a pool finish.
//! Targets that are sent everything queue it in their own order, so that urgent calls wait behind
//! others that arrived earlier, at a target that cannot be changed any more. Here the excess waits in
//! the router, and calls that cannot start in time are refused while their callers still have time
//! to use the answer.
//!
//! Invariants:
//! - Calls start by rank, 0 first. Within a rank, calls that were tried before come first, and then
//!   accounts get fair shares by expected work ([`FairQueue`]).
//! - A call that has waited for half of the time that it may wait is aged. Of any
//!   [`STARTS_PER_AGED`] starts in a row, one goes to aged calls if any wait. Groups of calls of one
//!   rank and one power of two of work take turns in it, the longest aged call of a group first.
//!   This is the floor: while a group has aged calls, it gets one in `STARTS_PER_AGED` x groups
//!   starts. A larger one would take starts from urgent calls while less urgent ones arrive
//!   without end. Accounts have their floor in the fair shares.
//! - No more than [`WAITING_MAX`] calls wait. A call that finds the queue full takes the place of the
//!   last call of the least urgent rank if that is less urgent than itself.
//! - No call waits beyond its `start_by`. A call that was never tried is admitted only if it is
//!   expected to start by then.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    time::Duration,
};

use base_types::{AccountName, RequestKey, TimePoint, key_types, message_types};

use crate::{FairQueue, QueuedRequest};

/// Calls that wait in a pool. At about 1 KB each, without the body, they take some 12 MB.
pub const WAITING_MAX: usize = 12_288;

/// Number of starts in a row of which at least one is that of an aged call if one waits.
pub const STARTS_PER_AGED: u32 = 8;

/// Part of the remaining time of a refused call after which its caller returns at the latest.
const RETURN_TIME_DIVISOR: u32 = 2;

/// Shortest time after which a refused caller returns.
const RETURN_TIME_MIN: Duration = Duration::from_millis(50);

/// Lowest rate of starts that is assumed, in calls a second, so that a stalled pool does not give
/// waits without end.
const START_RATE_MIN: f64 = 0.1;

message_types! {
    /// A call that finds no target with room.
    pub struct WaitingCall {
        /// Key of the call.
        pub call: RequestKey,
        /// Rank of the call; zero is served first.
        pub rank: u8,
        /// Whether the call was tried before.
        pub is_retry: bool,
        /// Account of the caller.
        pub account: AccountName,
        /// Expected work in tokens.
        pub work: u32,
        /// Time until which the call may wait.
        pub start_by: TimePoint,
    }

    /// What a router knows of the room at the targets of a pool.
    #[derive(Copy)]
    pub struct PoolRoom {
        /// Calls that the targets run at once; targets that state no number are left out.
        pub places: u64,
        /// Calls that they run, of all routers, as far as this one knows.
        pub taken: u64,
        /// Calls that this router may start now.
        pub open: u64,
        /// Calls a second that this router can start once the places are taken.
        pub starts_per_s: f64,
    }

    /// What a call that waits was told, and why.
    #[derive(Copy)]
    pub struct WaitEstimate {
        /// Calls that start before it.
        pub ahead: usize,
        /// Time at which it is expected to start.
        pub start_at: TimePoint,
    }
}

key_types! {
    /// Reason for which a call does not wait.
    pub enum ShedReason {
        /// The queue is full of calls that are as urgent or more.
        QueueFull,
        /// A more urgent call took its place.
        Displaced,
        /// The calls ahead of it take up the time in which it would have to start.
        NotInTime,
        /// It waited for as long as was of use.
        WaitedTooLong,
        /// The router is shutting down.
        Stopping,
    }
}

impl ShedReason {
    /// Returns the value used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::Displaced => "displaced",
            Self::NotInTime => "not_in_time",
            Self::WaitedTooLong => "waited_too_long",
            Self::Stopping => "stopping",
        }
    }
}

/// Calls of one rank that were tried before, or those that were not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LaneKey {
    rank: u8,
    is_first_attempt: bool,
}

/// Calls of a lane whose work has the same power of two; such groups take turns when aged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    lane: LaneKey,
    work_log2: u32,
}

#[derive(Debug, Clone, Copy)]
struct WaitingEntry {
    group: GroupKey,
    aged_at: TimePoint,
    start_by: TimePoint,
}

/// The waiting calls of one pool.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    lanes: BTreeMap<LaneKey, FairQueue>,
    entries: BTreeMap<RequestKey, WaitingEntry>,
    /// Calls of each group by the time at which they are aged.
    ages: BTreeMap<GroupKey, BTreeSet<(TimePoint, RequestKey)>>,
    /// Group that had the latest turn of aged calls.
    last_group: Option<GroupKey>,
    /// Calls by the time until which they may wait.
    ends: BTreeSet<(TimePoint, RequestKey)>,
    starts_since_aged: u32,
    /// Last time at which a refused caller of a rank was told to return.
    returns: BTreeMap<u8, TimePoint>,
}

impl WaitingQueue {
    /// Queues a call. Returns the call whose place it took, if any; that one is to be refused.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused instead.
    pub fn push(
        &mut self,
        now: TimePoint,
        call: WaitingCall,
        room: &PoolRoom,
    ) -> Result<Option<RequestKey>, ShedReason> {
        let estimate = self.estimate(now, &call, room);
        if !call.is_retry && estimate.start_at > call.start_by {
            return Err(ShedReason::NotInTime);
        }
        let group = group_of(&call);
        let lane = group.lane;
        let displaced =
            if self.len() >= WAITING_MAX { Some(self.last_before(lane)?) } else { None };
        if let Some(displaced) = displaced {
            self.leave(displaced);
        }
        let wait = call.start_by.since(now);
        let entry = WaitingEntry { group, aged_at: now.after(wait / 2), start_by: call.start_by };
        let queued = QueuedRequest {
            request: call.call,
            account: call.account,
            tokens: call.work,
            deadline: call.start_by,
        };
        let queue = self.lanes.entry(lane);
        let queue = queue.or_insert_with(|| FairQueue::with_bounds(WAITING_MAX, WAITING_MAX));
        queue.push(queued).map_err(|_| ShedReason::QueueFull)?;
        self.ages.entry(group).or_default().insert((entry.aged_at, call.call));
        self.ends.insert((entry.start_by, call.call));
        self.entries.insert(call.call, entry);
        Ok(displaced)
    }

    /// Returns when a call that is queued now would start. Calls that its turn among aged ones
    /// serves sooner than its place in the order are expected by that turn.
    pub fn estimate(&self, now: TimePoint, call: &WaitingCall, room: &PoolRoom) -> WaitEstimate {
        let group = group_of(call);
        let lane = group.lane;
        let rate = room.starts_per_s.max(START_RATE_MIN);
        let wait = call.start_by.since(now);
        // What comes after the calls that start in this time needs no exact count.
        let count_max = (wait.as_secs_f64() * rate).ceil() as usize + room.open as usize + 1;
        let mut ahead: usize = self.lanes.range(..lane).map(|(_, queue)| queue.len()).sum();
        if let Some(queue) = self.lanes.get(&lane) {
            ahead += queue.count_ahead(&call.account, call.work, count_max);
        }
        let time_for = |starts: f64| Duration::from_secs_f64(starts.max(0.0) / rate);
        let in_order = now.after(time_for(ahead as f64 + 1.0 - room.open as f64));
        let aged_at = now.after(wait / 2);
        let aged_ahead = self.ages.get(&group).map_or(0, BTreeSet::len);
        let groups = self.ages.len() + usize::from(aged_ahead == 0);
        let aged_starts = (aged_ahead as f64 + 1.0) * groups as f64;
        let turn = time_for(aged_starts * f64::from(STARTS_PER_AGED));
        WaitEstimate { ahead, start_at: in_order.min(aged_at.max(now.after(turn))) }
    }

    /// The call that starts next.
    pub fn next(&self, now: TimePoint) -> Option<RequestKey> {
        if let Some((_, call)) = self.aged_turn(now) {
            return Some(call);
        }
        let (_, queue) = self.lanes.first_key_value()?;
        queue.peek().map(|queued| queued.request)
    }

    /// Removes a call that starts; its account is charged for its work.
    pub fn start(&mut self, now: TimePoint, call: RequestKey) {
        let aged_group = self.aged_turn(now).filter(|(_, aged)| *aged == call);
        let Some(entry) = self.take_entry(call) else { return };
        match aged_group {
            Some((group, _)) => (self.starts_since_aged, self.last_group) = (0, Some(group)),
            None => self.starts_since_aged = self.starts_since_aged.saturating_add(1),
        }
        let lane = entry.group.lane;
        let Some(queue) = self.lanes.get_mut(&lane) else { return };
        if queue.peek().is_some_and(|queued| queued.request == call) {
            queue.pop();
        } else {
            queue.remove(call);
        }
        self.drop_empty(lane);
    }

    /// Removes a call that does not start; returns whether it waited.
    pub fn leave(&mut self, call: RequestKey) -> bool {
        let Some(entry) = self.take_entry(call) else { return false };
        let lane = entry.group.lane;
        if let Some(queue) = self.lanes.get_mut(&lane) {
            queue.withdraw(call);
        }
        self.drop_empty(lane);
        true
    }

    /// Removes and returns a call that has waited for as long as it may.
    pub fn pop_expired(&mut self, now: TimePoint) -> Option<RequestKey> {
        let (_, call) = *self.ends.first().filter(|(start_by, _)| start_by.passed(now))?;
        self.leave(call);
        Some(call)
    }

    /// Returns when the caller of a refused call may return: after the calls that wait and the
    /// callers of its rank that were refused before, at the rate at which calls start. Times that
    /// are too late for the call start again from the soonest one.
    pub fn next_return(
        &mut self,
        now: TimePoint,
        rank: u8,
        deadline: TimePoint,
        room: &PoolRoom,
    ) -> TimePoint {
        let rate = room.starts_per_s.max(START_RATE_MIN);
        let first_lane = LaneKey { rank, is_first_attempt: true };
        let waiting: usize = self.lanes.range(..=first_lane).map(|(_, queue)| queue.len()).sum();
        let backlog = Duration::from_secs_f64((waiting as f64 + 1.0) / rate);
        let latest = now.after(deadline.since(now) / RETURN_TIME_DIVISOR);
        let soonest =
            now.after(backlog.max(RETURN_TIME_MIN)).min(latest.max(now.after(RETURN_TIME_MIN)));
        // Callers of more urgent ranks return first.
        let earlier = self.returns.range(..=rank).map(|(_, at)| *at).max();
        let interval = Duration::from_secs_f64(1.0 / rate);
        let next = earlier.map_or(soonest, |at| at.after(interval).max(soonest));
        let return_at = if next > latest { soonest } else { next };
        self.returns.insert(rank, return_at);
        return_at
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a call waits.
    pub fn contains(&self, call: RequestKey) -> bool {
        self.entries.contains_key(&call)
    }

    /// Number of waiting calls by rank, without ranks of which none waits.
    pub fn ranks(&self) -> BTreeMap<u8, usize> {
        let mut ranks = BTreeMap::new();
        for (lane, queue) in &self.lanes {
            *ranks.entry(lane.rank).or_default() += queue.len();
        }
        ranks
    }

    /// Returns the last call of the least urgent rank if that is less urgent than a lane.
    fn last_before(&self, lane: LaneKey) -> Result<RequestKey, ShedReason> {
        let (last, queue) = self.lanes.last_key_value().ok_or(ShedReason::QueueFull)?;
        if last.rank <= lane.rank {
            return Err(ShedReason::QueueFull);
        }
        queue.peek_last().map(|queued| queued.request).ok_or(ShedReason::QueueFull)
    }

    /// The call that starts as the turn of aged calls, with its group; `None` if it is not their
    /// turn.
    fn aged_turn(&self, now: TimePoint) -> Option<(GroupKey, RequestKey)> {
        if self.starts_since_aged + 1 < STARTS_PER_AGED {
            return None;
        }
        let first = |(group, ages): (&GroupKey, &BTreeSet<(TimePoint, RequestKey)>)| {
            let (_, call) = ages.first().filter(|(aged_at, _)| aged_at.passed(now))?;
            Some((*group, *call))
        };
        let last = self.last_group.map_or(Bound::Unbounded, Bound::Excluded);
        let mut later = self.ages.range((last, Bound::Unbounded));
        later.find_map(first).or_else(|| self.ages.iter().find_map(first))
    }

    fn take_entry(&mut self, call: RequestKey) -> Option<WaitingEntry> {
        let entry = self.entries.remove(&call)?;
        if let Some(ages) = self.ages.get_mut(&entry.group) {
            ages.remove(&(entry.aged_at, call));
            if ages.is_empty() {
                self.ages.remove(&entry.group);
            }
        }
        self.ends.remove(&(entry.start_by, call));
        Some(entry)
    }

    /// Removes a lane without calls, so that its accounts start from equal shares again.
    fn drop_empty(&mut self, lane: LaneKey) {
        if self.lanes.get(&lane).is_some_and(FairQueue::is_empty) {
            self.lanes.remove(&lane);
        }
    }
}

fn group_of(call: &WaitingCall) -> GroupKey {
    let lane = LaneKey { rank: call.rank, is_first_attempt: !call.is_retry };
    GroupKey { lane, work_log2: call.work.max(1).ilog2() }
}
