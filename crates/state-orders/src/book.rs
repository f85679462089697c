//! State machine of a router that gives orders or waits for the lease to do so.

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, RowVersion, TimePoint, key_types, message_types};
use state_leases::{LeaseOwner, LeaseState, LeaseTimes};
use state_tables::ServingSpec;

use crate::{
    EngineOrder, OrderRecord, PoolView,
    plan::{Intents, is_acknowledged, next_engine, replacement_intent, unapplied_intents},
};

key_types! {
    /// Durations that control orders; all routers must agree on them.
    pub struct OrderTimes {
        /// How long a write grants the lease.
        pub lease_duration: Duration,
        /// Time after which an order that was sent can no longer reach its engine.
        pub order_deadline: Duration,
        /// Minimum time between two loads; follows from the rate limit of the weight store.
        pub load_interval: Duration,
        /// Time after which an order that its engine has not acknowledged is sent again.
        pub resend_interval: Duration,
        /// Interval at which routers that do not hold the lease read the object.
        pub read_interval: Duration,
    }
}

message_types! {
    /// Next action of the caller.
    pub enum OrderStep {
        /// Read the lease's object.
        Read,
        /// Write the object if it has this version; `None` requires that it does not exist.
        Write(Option<RowVersion>, OrderRecord),
        /// Send an order to an engine, with a deadline for giving up.
        Send(HostName, EngineOrder, TimePoint),
        /// Do nothing for now.
        Wait,
    }
}

/// State of the lease, the intents and the orders from the view of one router.
#[derive(Debug, Clone)]
pub struct OrderScheduler {
    times: OrderTimes,
    lease: LeaseState,
    /// The intents in the object at the version last read or written.
    intents: Intents,
    /// The intents of the write that is in flight; absent without one.
    writing_intents: Option<Intents>,
    /// When this process last sent each engine an order for its intent.
    sent_at: BTreeMap<HostName, TimePoint>,
    next_load_at: TimePoint,
    next_read_at: TimePoint,
}

impl OrderScheduler {
    /// Creates the state before the first read of the object.
    pub fn new(local_owner: LeaseOwner, times: OrderTimes) -> Self {
        // A previous holder may send its last order just before its lease expires.
        let lease =
            LeaseTimes { duration: times.lease_duration, grace_period: times.order_deadline };
        Self {
            times,
            lease: LeaseState::new(local_owner, lease),
            intents: Intents::new(),
            writing_intents: None,
            sent_at: BTreeMap::new(),
            next_load_at: TimePoint(0),
            next_read_at: TimePoint(0),
        }
    }

    /// The fencing number; absent unless this router holds the lease.
    pub fn fence(&self, now: TimePoint) -> Option<RowVersion> {
        self.lease.fence(now)
    }

    /// Specs that engines are ordered to serve and have not applied yet, as known to this router.
    pub fn intents(&self) -> &BTreeMap<HostName, ServingSpec> {
        &self.intents
    }

    /// Returns the next step. `is_assigned` is whether this router should give orders; several
    /// routers may be assigned at the same time for a while.
    pub fn step(&mut self, now: TimePoint, is_assigned: bool, pools: &[PoolView]) -> OrderStep {
        if let Some(fence) = self.lease.fence(now) {
            return self.step_as_holder(now, fence, is_assigned, pools);
        }
        if is_assigned && let Some(condition) = self.lease.acquire_condition(now) {
            return self.write_step(condition, self.intents.clone());
        }
        if self.next_read_at.passed(now) {
            self.next_read_at = now.after(self.times.read_interval);
            return OrderStep::Read;
        }
        OrderStep::Wait
    }

    /// Records a read of the object; `None` if there is no object.
    pub fn on_read(&mut self, now: TimePoint, object: Option<(RowVersion, OrderRecord)>) {
        let lease = object.as_ref().map(|(version, record)| (*version, &record.owner));
        self.lease.on_read(now, lease);
        self.intents = object.map(|(_, record)| record.intents).unwrap_or_default();
        self.next_load_at = self.next_load_at.max(now.after(self.times.load_interval));
    }

    /// Records that a write sent at `sent_at` took effect.
    pub fn on_written(&mut self, sent_at: TimePoint, now: TimePoint, version: RowVersion) {
        let acquired = self.lease.fence(now).is_none();
        self.lease.on_written(sent_at, now, version);
        let intents = self.writing_intents.take().unwrap_or_default();
        let adds_intent = intents.keys().any(|name| !self.intents.contains_key(name));
        self.intents = intents;
        if acquired || adds_intent {
            self.next_load_at = now.after(self.times.load_interval);
        }
    }

    /// Records that a read or write sent at `sent_at` was not answered.
    pub fn on_unanswered(&mut self, sent_at: TimePoint) {
        // Only a lost write may have acquired the lease; a lost read must not count as its start.
        if self.writing_intents.take().is_some() {
            self.lease.on_unanswered(sent_at);
        }
        self.next_read_at = sent_at;
    }

    /// Records that a write found another version.
    pub fn on_conflict(&mut self, now: TimePoint) {
        self.writing_intents = None;
        self.lease.on_conflict();
        self.next_read_at = now;
    }

    fn step_as_holder(
        &mut self,
        now: TimePoint,
        fence: RowVersion,
        is_assigned: bool,
        pools: &[PoolView],
    ) -> OrderStep {
        if let Some(step) = self.next_send(now, fence, pools) {
            return step;
        }
        // A router that is no longer assigned lets its lease expire.
        if !is_assigned {
            return OrderStep::Wait;
        }
        let mut intents = unapplied_intents(&self.intents, pools);
        if self.next_load_at.passed(now)
            && let Some((name, spec)) = self.next_intent(now, &intents, pools)
        {
            self.sent_at.remove(&name);
            intents.insert(name, spec);
        }
        if intents != self.intents || self.must_renew(now) {
            return self.write_step(Some(fence), intents);
        }
        OrderStep::Wait
    }

    /// The next load: of an engine without an intent, or to replace an intent that its pool no
    /// longer wants and whose last order can no longer take effect.
    fn next_intent(
        &self,
        now: TimePoint,
        intents: &Intents,
        pools: &[PoolView],
    ) -> Option<(HostName, ServingSpec)> {
        let last_order_expired = |name: &HostName| {
            let sent_at = self.sent_at.get(name);
            sent_at.is_none_or(|sent_at| sent_at.after(self.times.order_deadline).passed(now))
        };
        if let Some(replacement) = replacement_intent(intents, pools, last_order_expired) {
            return Some(replacement);
        }
        // A resent order may start its load as late as its arrival. No other load starts while an
        // order is unacknowledged, so that loads start one by one.
        let all_acknowledged =
            intents.iter().all(|(name, spec)| is_acknowledged(pools, name, spec));
        next_engine(intents, pools).filter(|_| all_acknowledged)
    }

    /// Returns the step that sends an order for an intent that its engine has not acknowledged.
    /// Only intents that the object contains are sent.
    fn next_send(
        &mut self,
        now: TimePoint,
        fence: RowVersion,
        pools: &[PoolView],
    ) -> Option<OrderStep> {
        let is_due = |name: &HostName| {
            let sent_at = self.sent_at.get(name);
            sent_at.is_none_or(|sent_at| sent_at.after(self.times.resend_interval).passed(now))
        };
        let unapplied = unapplied_intents(&self.intents, pools);
        let mut unacknowledged =
            unapplied.into_iter().filter(|(name, spec)| !is_acknowledged(pools, name, spec));
        let (name, spec) = unacknowledged.find(|(name, _)| is_due(name))?;
        self.sent_at.insert(name.clone(), now);
        self.next_load_at = self.next_load_at.max(now.after(self.times.load_interval));
        let deadline = now.after(self.times.order_deadline);
        Some(OrderStep::Send(name, EngineOrder { fence, spec }, deadline))
    }

    fn must_renew(&self, now: TimePoint) -> bool {
        let Some(expires_at) = self.lease.expires_at() else { return true };
        expires_at.since(now) < self.times.lease_duration / 2
    }

    fn write_step(&mut self, condition: Option<RowVersion>, intents: Intents) -> OrderStep {
        self.writing_intents = Some(intents.clone());
        OrderStep::Write(
            condition,
            OrderRecord { owner: self.lease.local_owner().clone(), intents },
        )
    }
}
