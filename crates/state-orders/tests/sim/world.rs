//! Simulation of routers, the lease's object and engines in virtual time.

use std::{collections::BTreeSet, time::Duration};

use base_types::{HostName, PoolName, RowVersion, TimePoint};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use state_leases::LeaseOwner;
use state_orders::{
    EngineOrder, EngineReport, EngineView, OrderRecord, OrderScheduler, OrderStep, OrderTimes,
    PoolView,
};
use state_tables::ServingSpec;

const ROUTERS: usize = 3;
const ENGINES: usize = 5;
const TICK: Duration = Duration::from_millis(50);
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Faults and changes of the wanted spec end here; all engines must then apply the last one.
const FAULTS_END: Duration = Duration::from_secs(240);
const RUN_END: Duration = Duration::from_secs(420);
const TIMES: OrderTimes = OrderTimes {
    lease_duration: Duration::from_secs(4),
    order_deadline: Duration::from_secs(2),
    load_interval: Duration::from_secs(5),
    resend_interval: Duration::from_secs(3),
    read_interval: Duration::from_secs(1),
};

/// Conditions of a run and the faults that are injected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) engines_ignore_fencing: bool,
    pub(crate) long_pauses: bool,
    pub(crate) lease_never_expires: bool,
    pub(crate) no_grace_period: bool,
    pub(crate) no_load_interval: bool,
    /// Loads follow each other without an interval, and the interval is not checked.
    pub(crate) unchecked_load_interval: bool,
    pub(crate) may_interrupt: bool,
}

impl Variant {
    pub(crate) const CORRECT: Self = Self {
        engines_ignore_fencing: false,
        long_pauses: false,
        lease_never_expires: false,
        no_grace_period: false,
        no_load_interval: false,
        unchecked_load_interval: false,
        may_interrupt: false,
    };

    pub(crate) fn unfenced(self) -> Self {
        Self { engines_ignore_fencing: true, ..self }
    }

    pub(crate) fn with_pauses(self) -> Self {
        Self { long_pauses: true, ..self }
    }

    fn times(self) -> OrderTimes {
        let mut times = TIMES;
        if self.no_load_interval || self.unchecked_load_interval {
            times.load_interval = Duration::ZERO;
        }
        times
    }
}

/// A platform call that is in flight.
struct InFlightCall {
    sent_at: TimePoint,
    effect_at: Option<TimePoint>,
    answer_at: Option<TimePoint>,
    write: Option<(Option<RowVersion>, OrderRecord)>,
    reply: Option<Reply>,
}

#[derive(Clone)]
enum Reply {
    Object(Option<(RowVersion, OrderRecord)>),
    Written(RowVersion),
    Conflict,
}

struct Router {
    scheduler: OrderScheduler,
    assigned: bool,
    paused_until: TimePoint,
    pools: Vec<PoolView>,
    call: Option<InFlightCall>,
}

struct Engine {
    report: EngineReport,
    loads_until: TimePoint,
    highest_fence: RowVersion,
}

struct InFlightOrder {
    arrival: TimePoint,
    engine: usize,
    order: EngineOrder,
}

pub(crate) struct Simulation {
    variant: Variant,
    rng: SmallRng,
    now: TimePoint,
    wanted_version: u32,
    object: Option<(RowVersion, OrderRecord)>,
    revision: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    in_flight_orders: Vec<InFlightOrder>,
    last_load_at: Option<TimePoint>,
    loads: u32,
}

impl Simulation {
    pub(crate) fn new(variant: Variant, seed: u64) -> Self {
        let times = variant.times();
        let new_router = |index: usize| {
            let owner = LeaseOwner { host: HostName::new(&format!("router-{index}")), instance: 1 };
            let mut router_times = times;
            if variant.lease_never_expires && index == 0 {
                router_times.lease_duration = Duration::from_secs(100_000);
            }
            if variant.no_grace_period {
                router_times.order_deadline = Duration::ZERO;
            }
            Router {
                scheduler: OrderScheduler::new(owner, router_times),
                assigned: true,
                paused_until: TimePoint(0),
                pools: Vec::new(),
                call: None,
            }
        };
        let new_engine = |_| Engine {
            report: EngineReport { serving: Some(spec(0)), loading: None },
            loads_until: TimePoint(0),
            highest_fence: RowVersion(0),
        };
        Self {
            variant,
            rng: SmallRng::seed_from_u64(seed),
            now: TimePoint(0),
            wanted_version: 1,
            object: None,
            revision: 0,
            routers: (0..ROUTERS).map(new_router).collect(),
            engines: (0..ENGINES).map(new_engine).collect(),
            in_flight_orders: Vec::new(),
            last_load_at: None,
            loads: 0,
        }
    }

    /// Runs to the end; the error names the violated invariant.
    pub(crate) fn run(mut self) -> Result<(), String> {
        while self.now < TimePoint(0).after(RUN_END) {
            self.now = self.now.after(TICK);
            self.change_conditions();
            self.finish_loads();
            self.deliver_due_orders()?;
            self.run_platform();
            for router in 0..ROUTERS {
                self.step_router(router);
            }
            self.check_majority()?;
        }
        let wanted_spec = spec(self.wanted_version);
        let has_applied = |engine: &Engine| engine.report.serving.as_ref() == Some(&wanted_spec);
        if !self.engines.iter().all(has_applied) {
            return Err("an engine has not applied the last wanted spec".to_owned());
        }
        if self.loads < 5 {
            return Err("too few loads for a meaningful run".to_owned());
        }
        Ok(())
    }

    fn change_conditions(&mut self) {
        if self.now >= TimePoint(0).after(FAULTS_END) {
            self.routers.iter_mut().for_each(|router| router.assigned = true);
            return;
        }
        if self.rng.random_bool(0.002) {
            self.wanted_version += 1;
        }
        for router in &mut self.routers {
            if self.rng.random_bool(0.005) {
                router.assigned = !router.assigned;
            }
            let is_running = router.paused_until.passed(self.now);
            if self.variant.long_pauses && is_running && self.rng.random_bool(0.004) {
                let pause = self.rng.random_range(1..20);
                router.paused_until = self.now.after(Duration::from_secs(pause));
            }
        }
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            if engine.report.loading.is_some() && engine.loads_until.passed(self.now) {
                engine.report.serving = engine.report.loading.take();
            }
        }
    }

    fn deliver_due_orders(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) =
            self.in_flight_orders.drain(..).partition(|order| order.arrival.passed(now));
        self.in_flight_orders = remaining;
        let mut due = due;
        due.sort_by_key(|order| order.arrival);
        for order in due {
            self.deliver_order(order)?;
        }
        Ok(())
    }

    /// Delivers an order to its engine. An engine that ignores fencing numbers executes every
    /// order; the sequence of the numbers is then checked here.
    fn deliver_order(&mut self, delivery: InFlightOrder) -> Result<(), String> {
        let engine = &mut self.engines[delivery.engine];
        let order = delivery.order;
        let is_outdated = order.fence < engine.highest_fence;
        if is_outdated && !self.variant.engines_ignore_fencing {
            return Ok(());
        }
        let report = &engine.report;
        let is_acknowledged = report.loading.as_ref() == Some(&order.spec)
            || (report.serving.as_ref() == Some(&order.spec) && report.loading.is_none());
        if is_acknowledged {
            engine.highest_fence = engine.highest_fence.max(order.fence);
            return Ok(());
        }
        if is_outdated {
            return Err("an older order came after a later one".to_owned());
        }
        engine.highest_fence = order.fence;
        engine.report = EngineReport { serving: None, loading: Some(order.spec) };
        engine.loads_until = self.now.after(LOAD_TIME);
        self.loads += 1;
        let interval_min = TIMES.load_interval - TIMES.order_deadline;
        let previous = self.last_load_at.replace(self.now);
        let is_too_early = previous.is_some_and(|previous| self.now.since(previous) < interval_min);
        if is_too_early && !self.variant.unchecked_load_interval {
            return Err("loads came too fast".to_owned());
        }
        Ok(())
    }

    fn check_majority(&self) -> Result<(), String> {
        let serving = self.engines.iter().filter(|engine| engine.report.serving.is_some()).count();
        if serving * 2 > ENGINES { Ok(()) } else { Err("no majority serves".to_owned()) }
    }

    fn run_platform(&mut self) {
        for index in 0..ROUTERS {
            let Some(mut call) = self.routers[index].call.take() else { continue };
            if call.effect_at.is_some_and(|effect_at| effect_at.passed(self.now)) {
                call.effect_at = None;
                call.reply = Some(self.execute(call.write.take()));
            }
            self.routers[index].call = Some(call);
        }
    }

    fn execute(&mut self, write: Option<(Option<RowVersion>, OrderRecord)>) -> Reply {
        let Some((expected, record)) = write else { return Reply::Object(self.object.clone()) };
        if self.object.as_ref().map(|(version, _)| *version) != expected {
            return Reply::Conflict;
        }
        self.revision += 1;
        let version = RowVersion(self.revision);
        self.object = Some((version, record));
        Reply::Written(version)
    }

    fn step_router(&mut self, index: usize) {
        let now = self.now;
        if !self.routers[index].paused_until.passed(now) {
            return;
        }
        if self.rng.random_bool(0.1) || self.routers[index].pools.is_empty() {
            self.routers[index].pools = vec![self.pool_view()];
        }
        if self.routers[index].call.is_some() {
            self.handle_answer(index);
            return;
        }
        let router = &mut self.routers[index];
        match router.scheduler.step(now, router.assigned, &router.pools) {
            OrderStep::Read => self.call(index, None),
            OrderStep::Write(expected, record) => self.call(index, Some((expected, record))),
            OrderStep::Send(name, order, _) => self.send(&name, order),
            OrderStep::Wait => {}
        }
    }

    fn pool_view(&self) -> PoolView {
        let view = |(index, engine): (usize, &Engine)| EngineView {
            name: engine_name(index),
            report: Some(engine.report.clone()),
        };
        PoolView {
            name: PoolName::new("pool"),
            spec: spec(self.wanted_version),
            may_interrupt: self.variant.may_interrupt,
            engines: self.engines.iter().enumerate().map(view).collect(),
        }
    }

    fn call(&mut self, index: usize, write: Option<(Option<RowVersion>, OrderRecord)>) {
        let faults_active = self.now < TimePoint(0).after(FAULTS_END);
        let effect_at = self.now.after(Duration::from_millis(self.rng.random_range(0..400)));
        let is_lost = faults_active && self.rng.random_bool(0.1);
        let answer_at = effect_at.after(Duration::from_millis(self.rng.random_range(0..400)));
        self.routers[index].call = Some(InFlightCall {
            sent_at: self.now,
            effect_at: (!(is_lost && self.rng.random_bool(0.5))).then_some(effect_at),
            answer_at: (!is_lost).then_some(answer_at),
            write,
            reply: None,
        });
    }

    /// Handles the answer of a router's call; a call without an answer is given up after a second.
    fn handle_answer(&mut self, index: usize) {
        const CALL_TIMEOUT: Duration = Duration::from_secs(1);
        let now = self.now;
        let router = &mut self.routers[index];
        let Some(call) = router.call.take() else { return };
        let answered = call.answer_at.is_some_and(|answer_at| answer_at.passed(now));
        let reply = call.reply.clone().filter(|_| answered);
        // The most critical moment for a pause is between the write of an intent and its order.
        let faults_active = self.variant.long_pauses && now < TimePoint(0).after(FAULTS_END);
        if matches!(reply, Some(Reply::Written(_))) && faults_active && self.rng.random_bool(0.1) {
            router.paused_until = now.after(Duration::from_secs(self.rng.random_range(5..60)));
        }
        match reply {
            Some(Reply::Object(object)) => router.scheduler.on_read(now, object),
            Some(Reply::Written(version)) => {
                router.scheduler.on_written(call.sent_at, now, version)
            }
            Some(Reply::Conflict) => router.scheduler.on_conflict(now),
            None if call.sent_at.after(CALL_TIMEOUT).passed(now) => {
                router.scheduler.on_unanswered(call.sent_at);
            }
            None => router.call = Some(call),
        }
    }

    /// Sends an order, which arrives before its deadline or never.
    fn send(&mut self, name: &HostName, order: EngineOrder) {
        let engine = (0..ENGINES).find(|index| engine_name(*index) == *name).unwrap();
        let is_late = self.rng.random_bool(0.2);
        let delay_limit = if is_late { TIMES.order_deadline } else { Duration::from_millis(100) };
        let delay = Duration::from_millis(self.rng.random_range(0..delay_limit.as_millis() as u64));
        let delivery = InFlightOrder { arrival: self.now.after(delay), engine, order };
        if !self.rng.random_bool(0.05) {
            self.in_flight_orders.push(delivery);
        }
    }
}

fn engine_name(index: usize) -> HostName {
    HostName::new(&format!("engine-{index}"))
}

fn spec(version: u32) -> ServingSpec {
    ServingSpec {
        model: "model".into(),
        version: version.to_string().into(),
        adapters: BTreeSet::new(),
        role: "".into(),
    }
}
