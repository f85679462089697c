//! Startup of a router process, and the event loop that owns the core.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
    time::Duration,
};

use base_settings::{LimitSettings, RouterSettings, ShutdownSettings};
use base_types::{RequestKey, TimePoint};
use core_peers::PeerEvent;
use core_router::{Effect, Event, RequestStep, RouterCore};
use error_stack::{Report, ResultExt};
use io_clock::MonotonicClock;
use io_platform::PlatformClient;
use io_telemetry::RouterMetrics;
use salvo::Router;
use state_ledger::LedgerCommand;
use tokio::sync::mpsc;

use crate::{
    admin::{operator_router, sweep_edits},
    front::caller_router,
    handle::{LoopHandle, LoopInput, LoopInputs},
    ledger::OperationLedger,
    observe::{ObserveState, RequestHoop, observe_router},
    orders::run_orders,
    peers::{PeerHandle, PeerLoop},
    platform::watch_platform,
    retention::sweep_operations,
    serve::{ServerTask, serve},
    shutdown::{ShutdownState, log_aborted, stop_on_signal},
};

/// Startup failed: a port, its keys or the metrics could not be set up.
#[derive(Debug)]
pub struct RunError;

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the router failed to start")
    }
}

impl std::error::Error for RunError {}

/// Runs a router until it receives a termination signal and its last request has finished.
///
/// # Errors
///
/// Fails when a listen address cannot be bound, or when keys or metrics cannot be set up.
pub async fn run_router(settings: RouterSettings) -> Result<(), Report<RunError>> {
    let local = tokio::task::LocalSet::new();
    local.run_until(run_local(settings)).await
}

async fn run_local(settings: RouterSettings) -> Result<(), Report<RunError>> {
    let clock = MonotonicClock::start();
    let (handle, mut inputs) = LoopHandle::new();
    let peers = PeerLoop::start(&settings, clock, handle.clone())?;
    let platform = PlatformClient::new(settings.platform);
    let context = RouterContext { clock, platform, handle, peers };
    let (caller_server, operator_server) = context.serve_ports(&settings).await?;
    context.spawn_tasks(&settings);
    log::info!(host = settings.host.as_str(); "router started");
    let RouterContext { platform, handle, peers, .. } = context;
    let ledger = OperationLedger::new(settings.host.clone(), platform, handle);
    let core = RouterCore::new(settings.host, rand::random());
    let mut core_loop = CoreLoop {
        core,
        clock,
        ledger,
        peers: peers.clone(),
        steps: BTreeMap::new(),
        shutdown_settings: settings.stop,
        shutdown: ShutdownState::Running,
    };
    core_loop.run(&mut inputs).await;
    let flush_timeout = core_loop.shutdown.flush_timeout(clock.now());
    core_loop
        .run_until(&mut inputs, flush_servers(caller_server, operator_server, flush_timeout))
        .await;
    peers.stop().await;
    log::info!("router stopped");
    Ok(())
}

/// Handles that the servers and background tasks share; every field is cheap to clone.
struct RouterContext {
    clock: MonotonicClock,
    platform: PlatformClient,
    handle: LoopHandle,
    peers: PeerHandle,
}

impl RouterContext {
    /// Binds the callers' and the operators' port and starts to serve them.
    async fn serve_ports(
        &self,
        settings: &RouterSettings,
    ) -> Result<(ServerTask, ServerTask), Report<RunError>> {
        let limits = &settings.limits;
        let metrics = Arc::new(RouterMetrics::new().change_context(RunError)?);
        let caller_routes = self.caller_routes(limits).hoop(RequestHoop(metrics.clone()));
        let tls = settings.caller_tls.as_ref();
        let caller_server = serve(settings.caller_listen, tls, limits, caller_routes).await?;
        let operator_routes = self.operator_routes(settings, metrics);
        let tls = settings.operator_tls.as_ref();
        let operator_server = serve(settings.operator_listen, tls, limits, operator_routes).await?;
        Ok((caller_server, operator_server))
    }

    fn caller_routes(&self, limits: &LimitSettings) -> Router {
        let caller_routes =
            caller_router(self.handle.clone(), self.peers.clone(), self.clock, limits.clone());
        Router::new().push(caller_routes)
    }

    fn operator_routes(&self, settings: &RouterSettings, metrics: Arc<RouterMetrics>) -> Router {
        let observe = ObserveState {
            handle: self.handle.clone(),
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            clock: self.clock,
            metrics,
        };
        let operator_routes = operator_router(
            self.handle.clone(),
            self.platform.clone(),
            self.peers.clone(),
            self.clock,
            settings.operators.clone(),
        );
        Router::new().push(observe_router(observe)).push(operator_routes)
    }

    /// Spawns the background tasks, which run until the process exits.
    fn spawn_tasks(&self, settings: &RouterSettings) {
        let platform = || self.platform.clone();
        let handle = || self.handle.clone();
        tokio::task::spawn_local(watch_platform(platform(), handle(), self.peers.clone()));
        tokio::task::spawn_local(sweep_edits(platform(), handle()));
        tokio::task::spawn_local(sweep_operations(platform(), handle()));
        let load_interval = settings.orders.load_interval;
        let host = settings.host.clone();
        tokio::task::spawn_local(run_orders(platform(), handle(), self.clock, host, load_interval));
        tokio::task::spawn_local(stop_on_signal(handle()));
    }
}

/// Closes the ports and waits until all answers are written or the timeout has passed.
async fn flush_servers(
    caller_server: ServerTask,
    operator_server: ServerTask,
    flush_timeout: Duration,
) {
    caller_server.handle.stop_graceful(flush_timeout);
    operator_server.handle.stop_graceful(flush_timeout);
    let _ = tokio::join!(caller_server.task, operator_server.task);
}

struct CoreLoop {
    core: RouterCore,
    clock: MonotonicClock,
    ledger: OperationLedger,
    peers: PeerHandle,
    steps: BTreeMap<RequestKey, mpsc::UnboundedSender<RequestStep>>,
    shutdown_settings: ShutdownSettings,
    shutdown: ShutdownState,
}

impl CoreLoop {
    /// Processes inputs until the router may exit.
    async fn run(&mut self, inputs: &mut LoopInputs) {
        while !self.may_exit() {
            self.process_next(inputs).await;
        }
    }

    /// Processes inputs until a future completes.
    async fn run_until(&mut self, inputs: &mut LoopInputs, completion: impl Future<Output = ()>) {
        tokio::pin!(completion);
        loop {
            tokio::select! {
                () = &mut completion => return,
                () = self.process_next(inputs) => {}
            }
        }
    }

    /// Processes one input, or the timer if the next deadline comes first.
    async fn process_next(&mut self, inputs: &mut LoopInputs) {
        let timer = tokio::time::sleep_until(self.clock.instant(self.next_deadline()));
        tokio::select! {
            Some(input) = inputs.recv() => self.on_input(input),
            () = timer => self.on_timer(),
        }
    }

    fn next_deadline(&self) -> TimePoint {
        let shutdown_deadline = self.shutdown.next_deadline(self.clock.now());
        self.core.next_deadline().min(self.ledger.next_deadline()).min(shutdown_deadline)
    }

    fn may_exit(&self) -> bool {
        let remaining = self.core.status().requests + self.ledger.pending_operations();
        self.shutdown.may_exit(self.clock.now(), remaining)
    }

    fn on_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::NewRequest(incoming, steps) => {
                self.steps.insert(incoming.request, steps);
                self.on_event(Event::Arrived(incoming));
            }
            LoopInput::Event(event) => self.on_event(event),
            LoopInput::LedgerAnswered(attempt, answer) => {
                let events = self.ledger.on_answer(self.clock.now(), attempt, answer);
                self.on_events(events);
            }
            LoopInput::Query(query) => query(&self.core),
        }
    }

    fn on_timer(&mut self) {
        if self.shutdown.drain_expired(self.clock.now()) {
            self.on_event(Event::StopForced);
        }
        let mut events = self.ledger.on_timer(self.clock.now());
        events.push(Event::TimerFired);
        self.on_events(events);
    }

    fn on_event(&mut self, event: Event) {
        self.on_events(vec![event]);
    }

    /// Processes events in order, including those that the ledger returns synchronously.
    fn on_events(&mut self, events: Vec<Event>) {
        let mut queue = VecDeque::from(events);
        while let Some(event) = queue.pop_front() {
            let ended = request_that_may_have_ended(&event);
            self.update_shutdown(&event);
            for effect in self.core.on_event(self.clock.now(), event) {
                queue.extend(self.run_effect(effect));
            }
            self.remove_closed_steps(ended);
        }
    }

    fn update_shutdown(&mut self, event: &Event) {
        match event {
            Event::ShutdownRequested => {
                self.shutdown = ShutdownState::draining(self.clock.now(), &self.shutdown_settings);
                self.peers.post(PeerEvent::DrainStarted);
                log::info!(requests = self.core.status().requests; "router is draining");
            }
            Event::StopForced => {
                self.shutdown = ShutdownState::forced(self.clock.now());
                log::warn!(requests = self.core.status().requests; "shutdown forced, aborting the remaining requests");
            }
            _ => {}
        }
    }

    fn run_effect(&mut self, effect: Effect) -> Vec<Event> {
        let now = self.clock.now();
        match effect {
            Effect::Step(request, step) => self.send_step(request, step),
            Effect::Claim(request, claim) => {
                return self.ledger.on_command(now, Some(request), LedgerCommand::Claim(claim));
            }
            Effect::Complete(request, claim, answer) => {
                let command = LedgerCommand::Complete(claim, answer);
                return self.ledger.on_command(now, Some(request), command);
            }
            Effect::RecordUnknown(claim) => {
                return self.ledger.on_command(now, None, LedgerCommand::RecordUnknown(claim));
            }
            Effect::Release(claim) => {
                return self.ledger.on_command(now, None, LedgerCommand::Release(claim));
            }
            Effect::Broadcast(notice) => self.peers.post(PeerEvent::NoticeIssued(notice)),
        }
        Vec::new()
    }

    fn remove_closed_steps(&mut self, ended: Option<RequestKey>) {
        let Some(request) = ended else { return };
        if self.steps.get(&request).is_some_and(mpsc::UnboundedSender::is_closed) {
            self.steps.remove(&request);
        }
    }

    /// Ignores a closed channel: the caller has disconnected, which `CallerGuard` reports to the
    /// core.
    fn send_step(&mut self, request: RequestKey, step: RequestStep) {
        if matches!(self.shutdown, ShutdownState::Forced(_)) {
            log_aborted(request, &step);
        }
        let is_final = !matches!(step, RequestStep::Send { .. });
        let Some(steps) = self.steps.get(&request) else { return };
        let _ = steps.send(step);
        if is_final {
            self.steps.remove(&request);
        }
    }
}

fn request_that_may_have_ended(event: &Event) -> Option<RequestKey> {
    match event {
        Event::AttemptEnded(request, ..) | Event::CallerDisconnected(request) => Some(*request),
        _ => None,
    }
}
