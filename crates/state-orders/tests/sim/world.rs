//! Routers, the object, and engines in virtual time.

use std::{collections::BTreeSet, time::Duration};

use base_types::{HostName, PoolName, RowVersion, TimePoint};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use state_leases::LeaseOwner;
use state_orders::{
    EngineOrder, EngineReport, EngineView, OrderBook, OrderRecord, OrderStep, OrderTimes, PoolView,
};
use state_tables::ServingSpec;

const ROUTERS: usize = 3;
const ENGINES: usize = 5;
const TICK: Duration = Duration::from_millis(50);
const LOAD_TIME: Duration = Duration::from_secs(20);
/// Faults and changes of what is wanted end here; all engines must then be reached.
const FAULTS_END: Duration = Duration::from_secs(240);
const RUN_END: Duration = Duration::from_secs(420);
const TIMES: OrderTimes = OrderTimes {
    lease: Duration::from_secs(4),
    order_deadline: Duration::from_secs(2),
    load_every: Duration::from_secs(5),
    resend_after: Duration::from_secs(3),
    read_every: Duration::from_secs(1),
};

/// What is tried, and what is broken on purpose.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Variant {
    pub(crate) engines_ignore_numbers: bool,
    pub(crate) long_pauses: bool,
    pub(crate) lease_never_ends: bool,
    pub(crate) no_settling: bool,
    pub(crate) no_pace: bool,
    /// Whether the pace of loads is of no concern.
    pub(crate) any_pace: bool,
    pub(crate) interrupting: bool,
}

impl Variant {
    pub(crate) const SOUND: Self = Self {
        engines_ignore_numbers: false,
        long_pauses: false,
        lease_never_ends: false,
        no_settling: false,
        no_pace: false,
        any_pace: false,
        interrupting: false,
    };

    pub(crate) fn ignoring(self) -> Self {
        Self { engines_ignore_numbers: true, ..self }
    }

    pub(crate) fn pausing(self) -> Self {
        Self { long_pauses: true, ..self }
    }

    fn times(self) -> OrderTimes {
        let mut times = TIMES;
        if self.no_pace || self.any_pace {
            times.load_every = Duration::ZERO;
        }
        times
    }
}

/// A call to the platform that is under way.
struct PendingCall {
    sent: TimePoint,
    effect: Option<TimePoint>,
    answer: Option<TimePoint>,
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
    book: OrderBook,
    assigned: bool,
    paused_until: TimePoint,
    pools: Vec<PoolView>,
    call: Option<PendingCall>,
}

struct Engine {
    report: EngineReport,
    loaded_at: TimePoint,
    highest: RowVersion,
}

struct Travelling {
    arrival: TimePoint,
    engine: usize,
    order: EngineOrder,
}

pub(crate) struct World {
    variant: Variant,
    rng: SmallRng,
    now: TimePoint,
    wanted: u32,
    object: Option<(RowVersion, OrderRecord)>,
    revision: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    travelling: Vec<Travelling>,
    last_load: Option<TimePoint>,
    loads: u32,
}

impl World {
    pub(crate) fn new(variant: Variant, seed: u64) -> Self {
        let times = variant.times();
        let router = |index: usize| {
            let own = LeaseOwner { host: HostName::new(&format!("router-{index}")), instance: 1 };
            let mut own_times = times;
            if variant.lease_never_ends && index == 0 {
                own_times.lease = Duration::from_secs(100_000);
            }
            if variant.no_settling {
                own_times.order_deadline = Duration::ZERO;
            }
            Router {
                book: OrderBook::new(own, own_times),
                assigned: true,
                paused_until: TimePoint(0),
                pools: Vec::new(),
                call: None,
            }
        };
        let serving = |_| Engine {
            report: EngineReport { serving: Some(spec(0)), loading: None },
            loaded_at: TimePoint(0),
            highest: RowVersion(0),
        };
        Self {
            variant,
            rng: SmallRng::seed_from_u64(seed),
            now: TimePoint(0),
            wanted: 1,
            object: None,
            revision: 0,
            routers: (0..ROUTERS).map(router).collect(),
            engines: (0..ENGINES).map(serving).collect(),
            travelling: Vec::new(),
            last_load: None,
            loads: 0,
        }
    }

    /// Runs to the end; the error says which promise was broken.
    pub(crate) fn run(mut self) -> Result<(), String> {
        while self.now < TimePoint(0).after(RUN_END) {
            self.now = self.now.after(TICK);
            self.change_world();
            self.finish_loads();
            self.deliver_orders()?;
            self.run_platform();
            for router in 0..ROUTERS {
                self.step_router(router);
            }
            self.check_majority()?;
        }
        let wanted = spec(self.wanted);
        let reached = |engine: &Engine| engine.report.serving.as_ref() == Some(&wanted);
        if !self.engines.iter().all(reached) {
            return Err("an engine was not reached in the end".to_owned());
        }
        if self.loads < 5 {
            return Err("too few loads to show anything".to_owned());
        }
        Ok(())
    }

    fn change_world(&mut self) {
        if self.now >= TimePoint(0).after(FAULTS_END) {
            self.routers.iter_mut().for_each(|router| router.assigned = true);
            return;
        }
        if self.rng.random_bool(0.002) {
            self.wanted += 1;
        }
        for router in &mut self.routers {
            if self.rng.random_bool(0.005) {
                router.assigned = !router.assigned;
            }
            let running = router.paused_until.passed(self.now);
            if self.variant.long_pauses && running && self.rng.random_bool(0.004) {
                let pause = self.rng.random_range(1..20);
                router.paused_until = self.now.after(Duration::from_secs(pause));
            }
        }
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            if engine.report.loading.is_some() && engine.loaded_at.passed(self.now) {
                engine.report.serving = engine.report.loading.take();
            }
        }
    }

    fn deliver_orders(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.travelling.drain(..).partition(|order| order.arrival.passed(now));
        self.travelling = later;
        let mut due = due;
        due.sort_by_key(|order| order.arrival);
        for travelling in due {
            self.take_order(travelling)?;
        }
        Ok(())
    }

    /// An engine that ignores numbers does whatever comes; the check is the world's own.
    fn take_order(&mut self, travelling: Travelling) -> Result<(), String> {
        let engine = &mut self.engines[travelling.engine];
        let order = travelling.order;
        let old = order.fence < engine.highest;
        if old && !self.variant.engines_ignore_numbers {
            return Ok(());
        }
        let report = &engine.report;
        let heard = report.loading.as_ref() == Some(&order.spec)
            || (report.serving.as_ref() == Some(&order.spec) && report.loading.is_none());
        if heard {
            engine.highest = engine.highest.max(order.fence);
            return Ok(());
        }
        if old {
            return Err("an older order came after a later one".to_owned());
        }
        engine.highest = order.fence;
        engine.report = EngineReport { serving: None, loading: Some(order.spec) };
        engine.loaded_at = self.now.after(LOAD_TIME);
        self.loads += 1;
        let least = TIMES.load_every - TIMES.order_deadline;
        let last = self.last_load.replace(self.now);
        let too_fast = last.is_some_and(|last| self.now.since(last) < least);
        if too_fast && !self.variant.any_pace {
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
            if call.effect.is_some_and(|effect| effect.passed(self.now)) {
                call.effect = None;
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
            self.hear_answer(index);
            return;
        }
        let router = &mut self.routers[index];
        match router.book.step(now, router.assigned, &router.pools) {
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
            spec: spec(self.wanted),
            may_interrupt: self.variant.interrupting,
            engines: self.engines.iter().enumerate().map(view).collect(),
        }
    }

    fn call(&mut self, index: usize, write: Option<(Option<RowVersion>, OrderRecord)>) {
        let faults = self.now < TimePoint(0).after(FAULTS_END);
        let effect = self.now.after(Duration::from_millis(self.rng.random_range(0..400)));
        let lost = faults && self.rng.random_bool(0.1);
        let answer = effect.after(Duration::from_millis(self.rng.random_range(0..400)));
        self.routers[index].call = Some(PendingCall {
            sent: self.now,
            effect: (!(lost && self.rng.random_bool(0.5))).then_some(effect),
            answer: (!lost).then_some(answer),
            write,
            reply: None,
        });
    }

    /// A call without an answer is given up after a second.
    fn hear_answer(&mut self, index: usize) {
        const CALL_TIMEOUT: Duration = Duration::from_secs(1);
        let now = self.now;
        let router = &mut self.routers[index];
        let Some(call) = router.call.take() else { return };
        let answered = call.answer.is_some_and(|answer| answer.passed(now));
        let reply = call.reply.clone().filter(|_| answered);
        // The worst moment for a pause is between an intent and its order.
        let faults = self.variant.long_pauses && now < TimePoint(0).after(FAULTS_END);
        if matches!(reply, Some(Reply::Written(_))) && faults && self.rng.random_bool(0.1) {
            router.paused_until = now.after(Duration::from_secs(self.rng.random_range(5..60)));
        }
        match reply {
            Some(Reply::Object(object)) => router.book.on_read(now, object),
            Some(Reply::Written(version)) => router.book.on_written(call.sent, now, version),
            Some(Reply::Conflict) => router.book.on_conflict(now),
            None if call.sent.after(CALL_TIMEOUT).passed(now) => {
                router.book.on_unanswered(call.sent);
            }
            None => router.call = Some(call),
        }
    }

    /// An order arrives before its deadline or never.
    fn send(&mut self, name: &HostName, order: EngineOrder) {
        let engine = (0..ENGINES).find(|index| engine_name(*index) == *name).unwrap();
        let late = self.rng.random_bool(0.2);
        let limit = if late { TIMES.order_deadline } else { Duration::from_millis(100) };
        let travel = Duration::from_millis(self.rng.random_range(0..limit.as_millis() as u64));
        let travelling = Travelling { arrival: self.now.after(travel), engine, order };
        if !self.rng.random_bool(0.05) {
            self.travelling.push(travelling);
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
