//! Sends orders to model engines.
//!
//! Every router checks whether the order task is assigned to it. Without a pool that has a serving
//! specification, no call is made to the platform or to an engine.

mod client;

use std::{collections::BTreeMap, time::Duration};

use base_types::{HostName, RowVersion, TimePoint};
use core_router::{HostState, RouterCore, TargetRecord};
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteCondition};
use policy_routing::{rendezvous_score, stable_hash};
use policy_targets::TargetPhase;
use state_leases::LeaseOwner;
use state_orders::{
    EngineOrder, EngineReport, EngineView, OrderRecord, OrderScheduler, OrderStep, OrderTimes,
    PoolView,
};

use io_clock::MonotonicClock;

use crate::{handle::LoopHandle, orders::client::EngineClient};

const ORDER_OBJECT: &str = "orders/lease";
/// Rendezvous key that routers hash with their names to decide which one sends the orders.
const TASK_HASH_INPUT: &[u8] = b"orders";
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Times that are equal on all routers of a fleet; only the load interval is configurable.
const DEFAULT_TIMES: OrderTimes = OrderTimes {
    lease_duration: Duration::from_secs(6),
    order_deadline: Duration::from_secs(2),
    load_interval: Duration::from_secs(10),
    resend_interval: Duration::from_secs(3),
    read_interval: Duration::from_secs(1),
};

/// Snapshot of the core's state on which the order task decides.
struct OrderInputs {
    assigned: bool,
    pools: Vec<PoolView>,
    addresses: BTreeMap<HostName, Box<str>>,
}

/// Sends orders whenever the task is assigned to this router, until the process exits.
pub(crate) async fn run_orders(
    platform: PlatformClient,
    handle: LoopHandle,
    clock: MonotonicClock,
    host: HostName,
    load_interval: Duration,
) {
    let owner = LeaseOwner { host, instance: rand::random() };
    let times = OrderTimes { load_interval, ..DEFAULT_TIMES };
    let mut task = OrderTask {
        scheduler: OrderScheduler::new(owner, times),
        reports: BTreeMap::new(),
        platform,
        engines: EngineClient::new(),
        clock,
    };
    while let Some(inputs) = handle.query(move |core| order_inputs(core, clock.now())).await {
        if inputs.pools.is_empty() {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        if !task.run_step(inputs).await {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

struct OrderTask {
    scheduler: OrderScheduler,
    reports: BTreeMap<HostName, EngineReport>,
    platform: PlatformClient,
    engines: EngineClient,
    clock: MonotonicClock,
}

impl OrderTask {
    /// Executes the next step; returns false when there is none yet.
    async fn run_step(&mut self, mut inputs: OrderInputs) -> bool {
        let now = self.clock.now();
        if self.scheduler.fence(now).is_some() {
            self.reports = self.engines.reports(&inputs.addresses).await;
        }
        for engine in inputs.pools.iter_mut().flat_map(|pool| &mut pool.engines) {
            engine.report = self.reports.get(&engine.name).cloned();
        }
        // Reads the clock again, because the lease may have expired while the reports were fetched.
        let now = self.clock.now();
        match self.scheduler.step(now, inputs.assigned, &inputs.pools) {
            OrderStep::Read => self.read().await,
            OrderStep::Write(condition, record) => self.write(condition, &record).await,
            OrderStep::Send(name, order, deadline) => {
                let Some(address) = inputs.addresses.get(&name) else { return false };
                self.send(&name, address, &order, deadline).await;
            }
            OrderStep::Wait => return false,
        }
        true
    }

    async fn read(&mut self) {
        let sent_at = self.clock.now();
        let object = self.platform.read(&ObjectKey::new(ORDER_OBJECT)).await;
        let now = self.clock.now();
        match object {
            Ok(object) => self.scheduler.on_read(now, object.and_then(order_record)),
            Err(_) => self.scheduler.on_unanswered(sent_at),
        }
    }

    async fn write(&mut self, condition: Option<RowVersion>, record: &OrderRecord) {
        let write_condition = condition.map_or(WriteCondition::Absent, WriteCondition::Version);
        let sent_at = self.clock.now();
        let key = ObjectKey::new(ORDER_OBJECT);
        let written = self.platform.write(&key, write_condition, record).await;
        let now = self.clock.now();
        match written {
            Ok(answer) => self.scheduler.on_written(sent_at, now, answer.version),
            Err(report) if matches!(report.current_context(), PlatformError::Conflict) => {
                self.scheduler.on_conflict(now);
            }
            Err(_) => self.scheduler.on_unanswered(sent_at),
        }
    }

    async fn send(&self, name: &HostName, address: &str, order: &EngineOrder, deadline: TimePoint) {
        let deadline = self.clock.instant(deadline);
        let response = self.engines.order(address, order, deadline).await;
        let (fence, spec) = (order.fence.0, &order.spec);
        match response {
            Some(status) => log::info!(
                "ordered engine `{name}` to serve model `{}` version `{}` with fence {fence}: \
                 status {status}",
                spec.model,
                spec.version,
            ),
            None => log::warn!("engine `{name}` did not answer the order with fence {fence}"),
        }
    }
}

/// Parses the order record. An unreadable object counts as missing: the write that requires its
/// absence then fails, and no orders are sent until an operator removes the object.
fn order_record(object: ObjectRecord) -> Option<(RowVersion, OrderRecord)> {
    match serde_json::from_value(object.value?) {
        Ok(record) => Some((object.version, record)),
        Err(error) => {
            log::error!(
                "object `{ORDER_OBJECT}` is not a valid order record; no orders are sent until it \
                 is deleted: {error}"
            );
            None
        }
    }
}

fn order_inputs(core: &RouterCore, now: TimePoint) -> OrderInputs {
    let mut addresses = BTreeMap::new();
    let mut pools = Vec::new();
    for row in core.tables().pools() {
        let Some(spec) = row.serving.clone() else { continue };
        let members =
            core.targets().filter(|target| takes_orders(target, now) && target.group == row.group);
        let members: Vec<_> = members.collect();
        addresses.extend(members.iter().map(|t| (t.name.clone(), t.address.clone())));
        let view = |name: &HostName| EngineView { name: name.clone(), report: None };
        pools.push(PoolView {
            name: row.name.clone(),
            spec,
            may_interrupt: row.may_interrupt,
            engines: members.iter().map(|target| view(&target.name)).collect(),
        });
    }
    OrderInputs { assigned: is_assigned(core), pools, addresses }
}

/// Whether an engine takes orders. An engine that failed recently still counts as part of its pool.
fn takes_orders(target: &TargetRecord, now: TimePoint) -> bool {
    !matches!(target.lifecycle.phase(now), TargetPhase::Leaving(_) | TargetPhase::Unlisted)
}

/// Whether this router ranks first among the live routers by rendezvous hashing of the task.
fn is_assigned(core: &RouterCore) -> bool {
    let task = stable_hash(TASK_HASH_INPUT);
    let score = |host: &HostName| rendezvous_score(task, stable_hash(host.as_str().as_bytes()), 1);
    let live = core.entry_hosts().filter(|entry| entry.state == HostState::Live);
    let first = live.max_by(|left, right| score(&left.name).total_cmp(&score(&right.name)));
    !core.status().leaving && first.is_some_and(|entry| entry.name == *core.name())
}
