//! The state machine of the router that gives orders, or waits to.

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, RowVersion, TimePoint, key_types, message_types};
use state_leases::{LeaseOwner, LeaseState, LeaseTimes};
use state_tables::ServingSpec;

use crate::{
    EngineOrder, OrderRecord, PoolView,
    plan::{Intents, has_heard, next_engine, open_intents, replaced_intent},
};

key_types! {
    /// Times by which orders are given; all routers must agree on them.
    pub struct OrderTimes {
        /// Time for which a write gives the lease.
        pub lease: Duration,
        /// Longest time from when an order is sent until its engine has it or never will.
        pub order_deadline: Duration,
        /// Least time between two loads, by the rate of the weight store.
        pub load_every: Duration,
        /// Time after which an order that its engine has not heard of is sent again.
        pub resend_after: Duration,
        /// Time between two reads of the object by routers that do not hold the lease.
        pub read_every: Duration,
    }
}

message_types! {
    /// What to do next.
    pub enum OrderStep {
        /// Read the object.
        Read,
        /// Write the object on condition of its version, or that there is none.
        Write(Option<RowVersion>, OrderRecord),
        /// Send an order, and give it up at a point in time.
        Send(HostName, EngineOrder, TimePoint),
        /// Nothing for now.
        Wait,
    }
}

/// What one router knows of the orders.
#[derive(Debug, Clone)]
pub struct OrderBook {
    times: OrderTimes,
    lease: LeaseState,
    /// The intents that the object holds at the version last read or written.
    intents: Intents,
    /// The intents of the write that is under way; absent while none is.
    writing: Option<Intents>,
    /// When each engine was last sent its intent by this process.
    sent: BTreeMap<HostName, TimePoint>,
    next_load: TimePoint,
    next_read: TimePoint,
}

impl OrderBook {
    /// A book of which nothing is known.
    pub fn new(own: LeaseOwner, times: OrderTimes) -> Self {
        // A former holder's last order may be sent as its lease ends.
        let lease = LeaseTimes { span: times.lease, settle: times.order_deadline };
        Self {
            times,
            lease: LeaseState::new(own, lease),
            intents: Intents::new(),
            writing: None,
            sent: BTreeMap::new(),
            next_load: TimePoint(0),
            next_read: TimePoint(0),
        }
    }

    /// The fencing number, while this router holds the lease.
    pub fn fence(&self, now: TimePoint) -> Option<RowVersion> {
        self.lease.fence(now)
    }

    /// What engines were told and have not reached yet, as far as this router knows.
    pub fn intents(&self) -> &BTreeMap<HostName, ServingSpec> {
        &self.intents
    }

    /// The next step. `assigned` says whether this router is the one that should give orders;
    /// two routers may both think so for a while.
    pub fn step(&mut self, now: TimePoint, assigned: bool, pools: &[PoolView]) -> OrderStep {
        if let Some(fence) = self.lease.fence(now) {
            return self.hold(now, fence, assigned, pools);
        }
        if assigned && let Some(condition) = self.lease.take_condition(now) {
            return self.write(condition, self.intents.clone());
        }
        if self.next_read.passed(now) {
            self.next_read = now.after(self.times.read_every);
            return OrderStep::Read;
        }
        OrderStep::Wait
    }

    /// Notes a read of the object; `None` when there is no object.
    pub fn on_read(&mut self, now: TimePoint, object: Option<(RowVersion, OrderRecord)>) {
        let lease = object.as_ref().map(|(version, record)| (*version, &record.owner));
        self.lease.on_read(now, lease);
        self.intents = object.map(|(_, record)| record.intents).unwrap_or_default();
        self.next_load = self.next_load.max(now.after(self.times.load_every));
    }

    /// Notes that a write sent at a point in time took effect.
    pub fn on_written(&mut self, sent: TimePoint, now: TimePoint, version: RowVersion) {
        let took = self.lease.fence(now).is_none();
        self.lease.on_written(sent, now, version);
        let intents = self.writing.take().unwrap_or_default();
        let loads = intents.keys().any(|name| !self.intents.contains_key(name));
        self.intents = intents;
        if took || loads {
            self.next_load = now.after(self.times.load_every);
        }
    }

    /// Notes that a read or write sent at a point in time was not answered.
    pub fn on_unanswered(&mut self, sent: TimePoint) {
        // A lost read gives no lease, so that it must not count as the begin of one.
        if self.writing.take().is_some() {
            self.lease.on_unanswered(sent);
        }
        self.next_read = sent;
    }

    /// Notes that a write found another version.
    pub fn on_conflict(&mut self, now: TimePoint) {
        self.writing = None;
        self.lease.on_conflict();
        self.next_read = now;
    }

    fn hold(
        &mut self,
        now: TimePoint,
        fence: RowVersion,
        assigned: bool,
        pools: &[PoolView],
    ) -> OrderStep {
        if let Some(step) = self.send(now, fence, pools) {
            return step;
        }
        // A router that should not give orders any more lets its lease lapse.
        if !assigned {
            return OrderStep::Wait;
        }
        let mut intents = open_intents(&self.intents, pools);
        if self.next_load.passed(now)
            && let Some((name, spec)) = self.next_intent(now, &intents, pools)
        {
            self.sent.remove(&name);
            intents.insert(name, spec);
        }
        if intents != self.intents || self.must_renew(now) {
            return self.write(Some(fence), intents);
        }
        OrderStep::Wait
    }

    /// The next load: of an engine without an intent, or in place of an intent that its pool no
    /// longer wants and whose last order can take effect no more.
    fn next_intent(
        &self,
        now: TimePoint,
        intents: &Intents,
        pools: &[PoolView],
    ) -> Option<(HostName, ServingSpec)> {
        let settled = |name: &HostName| {
            let sent = self.sent.get(name);
            sent.is_none_or(|sent| sent.after(self.times.order_deadline).passed(now))
        };
        if let Some(replaced) = replaced_intent(intents, pools, settled) {
            return Some(replaced);
        }
        // An order that is sent again may begin its load only then, so that loads come one by one.
        let all_heard = intents.iter().all(|(name, spec)| has_heard(pools, name, spec));
        next_engine(intents, pools).filter(|_| all_heard)
    }

    /// Sends an intent that its engine has not heard of; only what the object holds is sent.
    fn send(&mut self, now: TimePoint, fence: RowVersion, pools: &[PoolView]) -> Option<OrderStep> {
        let due = |name: &HostName| {
            let sent = self.sent.get(name);
            sent.is_none_or(|sent| sent.after(self.times.resend_after).passed(now))
        };
        let open = open_intents(&self.intents, pools);
        let mut unheard = open.into_iter().filter(|(name, spec)| !has_heard(pools, name, spec));
        let (name, spec) = unheard.find(|(name, _)| due(name))?;
        self.sent.insert(name.clone(), now);
        self.next_load = self.next_load.max(now.after(self.times.load_every));
        let until = now.after(self.times.order_deadline);
        Some(OrderStep::Send(name, EngineOrder { fence, spec }, until))
    }

    fn must_renew(&self, now: TimePoint) -> bool {
        let Some(until) = self.lease.held_until() else { return true };
        until.since(now) < self.times.lease / 2
    }

    fn write(&mut self, condition: Option<RowVersion>, intents: Intents) -> OrderStep {
        self.writing = Some(intents.clone());
        OrderStep::Write(condition, OrderRecord { owner: self.lease.own().clone(), intents })
    }
}
