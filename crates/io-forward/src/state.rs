//! State shared by the tasks of one router.

use std::{
    cell::{OnceCell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
};

use base_types::TimePoint;
use core_forward::{CallKey, ForwardCore, StopSchedule};
use io_clock::MonotonicClock;
use io_telemetry::GatewayMetrics;
use policy_admission::{MemoryBudget, MemoryUse};
use tokio::sync::{Notify, watch};

use crate::{
    ForwardDialect,
    memory::{CallMemory, SharedBudget},
    upstream::UpstreamPool,
};

/// Handle to a router's core, connection pool and metrics, shared by tasks on a single thread.
#[derive(Debug, Clone)]
pub struct ForwardState {
    inner: Rc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    clock: MonotonicClock,
    core: RefCell<ForwardCore>,
    upstream: RefCell<UpstreamPool>,
    dialect: Box<dyn ForwardDialect>,
    metrics: Rc<GatewayMetrics>,
    memory: OnceCell<Arc<SharedBudget>>,
    shutting_down: watch::Sender<bool>,
    heartbeat_wakeup: Notify,
    origins_received: Notify,
    list_wanted: Notify,
    place_messages_due: Notify,
    /// Wakeups of the calls that wait for a target with room.
    room_waiters: RefCell<BTreeMap<CallKey, Rc<Notify>>>,
}

/// The wakeup of a call that waits for a target with room; dropping it ends the wait.
#[derive(Debug)]
pub(crate) struct RoomWaiter {
    state: ForwardState,
    call: CallKey,
    wakeup: Rc<Notify>,
}

impl RoomWaiter {
    /// Returns when the call is to be dispatched again.
    pub(crate) async fn wait_until(&self, until: TimePoint) {
        let deadline = self.state.clock().instant(until);
        // Both ends of the wait have the same consequence.
        let _ = tokio::time::timeout_at(deadline, self.wakeup.notified()).await;
    }
}

impl Drop for RoomWaiter {
    fn drop(&mut self) {
        self.state.inner.room_waiters.borrow_mut().remove(&self.call);
    }
}

impl ForwardState {
    /// Wraps a core so that tasks can share it.
    pub fn new(
        clock: MonotonicClock,
        core: ForwardCore,
        dialect: Box<dyn ForwardDialect>,
        metrics: Rc<GatewayMetrics>,
    ) -> Self {
        let (shutting_down, _) = watch::channel(false);
        let shared = SharedState {
            clock,
            core: RefCell::new(core),
            upstream: RefCell::default(),
            dialect,
            metrics,
            memory: OnceCell::new(),
            shutting_down,
            heartbeat_wakeup: Notify::new(),
            origins_received: Notify::new(),
            list_wanted: Notify::new(),
            place_messages_due: Notify::new(),
            room_waiters: RefCell::default(),
        };
        Self { inner: Rc::new(shared) }
    }

    /// Limits the bytes that are held for callers and targets; to be called before the first call is
    /// served. A second limit is ignored.
    pub fn limit_memory(&self, budget: MemoryBudget) {
        if self.inner.memory.set(SharedBudget::new(budget)).is_err() {
            log::warn!("memory is limited already, further limit ignored");
        }
    }

    /// Bytes that are held for callers and targets, and that may be held; `None` without a limit.
    pub fn held_bytes(&self) -> Option<(u64, u64)> {
        self.inner.memory.get().map(|memory| memory.held_bytes())
    }

    pub(crate) fn is_memory_limited(&self) -> bool {
        self.inner.memory.get().is_some()
    }

    /// Memory of one call for one use.
    pub(crate) fn call_memory(&self, memory_use: MemoryUse) -> CallMemory {
        CallMemory::new(self.inner.memory.get(), memory_use)
    }

    /// The clock that all of the router's time points refer to.
    pub fn clock(&self) -> MonotonicClock {
        self.inner.clock
    }

    /// The current time on the router's clock.
    pub fn now(&self) -> TimePoint {
        self.inner.clock.now()
    }

    /// Runs a closure on the core; the core is never borrowed across an await point.
    pub fn with_core<T>(&self, action: impl FnOnce(&mut ForwardCore, TimePoint) -> T) -> T {
        let now = self.now();
        action(&mut self.inner.core.borrow_mut(), now)
    }

    /// Starts the shutdown of the router: each caller connection closes after its call in flight;
    /// idle connections that served a call close at once, unused ones close with their first
    /// response.
    pub fn start_shutdown(&self, schedule: StopSchedule) {
        self.with_core(|core, _| core.start_shutdown(schedule));
        self.inner.shutting_down.send_replace(true);
        // Each is sent or refused, which wakes the next one.
        self.wake_waiting();
    }

    /// Number of connections to targets attempted for calls and probes since the process started.
    pub fn connections_opened(&self) -> u64 {
        self.inner.upstream.borrow().opened()
    }

    /// Removes expired state and idle connections; to be called about once per second.
    pub fn sweep(&self) {
        self.with_core(|core, now| core.sweep(now));
        let now = self.now();
        self.inner.upstream.borrow_mut().sweep(now);
        self.wake_waiting();
    }

    /// Metrics that calls and attempts are counted in.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.inner.metrics
    }

    pub(crate) fn dialect(&self) -> &dyn ForwardDialect {
        &*self.inner.dialect
    }

    pub(crate) fn with_upstream<T>(
        &self,
        action: impl FnOnce(&mut UpstreamPool, TimePoint) -> T,
    ) -> T {
        let now = self.now();
        action(&mut self.inner.upstream.borrow_mut(), now)
    }

    /// Has the next heartbeat sent early, as it has news.
    pub fn hasten_heartbeat(&self) {
        self.inner.heartbeat_wakeup.notify_one();
    }

    /// Logs the changes of the list of evacuated failure domains, and asks for a list of targets where they may have become
    /// cold; `source` names who reported the changes.
    pub fn report_evacuations(&self, source: &str) {
        for change in self.with_core(|core, _| core.take_evacuation_changes()) {
            if change.wants_targets {
                self.list_wanted().notify_one();
            }
            let (evacuated, restored) = (change.evacuated.join(","), change.restored.join(","));
            log::info!(
                source, revision = change.revision, evacuated = evacuated.as_str(),
                restored = restored.as_str();
                "list of evacuated failure domains changed"
            );
        }
    }

    /// Notified when there is state that peers can use at once, to send a heartbeat early.
    pub(crate) fn heartbeat_wakeup(&self) -> &Notify {
        &self.inner.heartbeat_wakeup
    }

    /// Has calls that wait for the origins of their streams look for them again.
    pub fn notify_origins(&self) {
        self.inner.origins_received.notify_waiters();
    }

    /// Notified when the origins of streams were received.
    /// Notified when a call waits for a complete list of targets.
    pub fn list_wanted(&self) -> &Notify {
        &self.inner.list_wanted
    }

    pub(crate) fn origins_received(&self) -> &Notify {
        &self.inner.origins_received
    }

    /// Has the calls dispatched again that can start now; to be called after each change of the
    /// room at targets.
    pub fn wake_waiting(&self) {
        let startable = self.with_core(|core, now| core.take_startable(now));
        let waiters = self.inner.room_waiters.borrow();
        for wakeup in startable.iter().filter_map(|call| waiters.get(call)) {
            wakeup.notify_one();
        }
        self.send_place_messages();
    }

    /// Has the messages about places at targets sent that are due.
    pub(crate) fn send_place_messages(&self) {
        if self.with_core(|core, _| core.has_place_messages()) {
            self.inner.place_messages_due.notify_one();
        }
    }

    /// Notified when messages about places at targets are due.
    pub(crate) fn place_messages_due(&self) -> &Notify {
        &self.inner.place_messages_due
    }

    /// Has a call dispatched again that waits for an answer.
    pub(crate) fn wake_call(&self, call: CallKey) {
        if let Some(wakeup) = self.inner.room_waiters.borrow().get(&call) {
            wakeup.notify_one();
        }
    }

    /// Registers a call that waits for a target with room.
    pub(crate) fn add_room_waiter(&self, call: CallKey) -> RoomWaiter {
        let wakeup = Rc::new(Notify::new());
        self.inner.room_waiters.borrow_mut().insert(call, wakeup.clone());
        RoomWaiter { state: self.clone(), call, wakeup }
    }

    pub(crate) fn shutting_down(&self) -> watch::Receiver<bool> {
        self.inner.shutting_down.subscribe()
    }
}
