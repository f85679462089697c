//! The loop that owns the core, and the start of a router process.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
    time::Instant,
};

use base_settings::RouterSettings;
use base_types::{RequestKey, TimePoint};
use core_peers::PeerEvent;
use core_router::{Effect, Event, RequestStep, RouterCore};
use error_stack::{Report, ResultExt};
use io_platform::PlatformClient;
use io_telemetry::RouterMetrics;
use salvo::Router;
use state_ledger::LedgerOrder;
use tokio::sync::mpsc;

use crate::{
    admin::{operator_router, sweep_edits},
    front::caller_router,
    handle::{LoopHandle, LoopInput},
    ledger::OperationLedger,
    observe::{ObserveState, RequestHoop, observe_router},
    peers::{PeerHandle, PeerLoop},
    platform::watch_platform,
    serve::serve,
};

/// The router could not start or ended early.
#[derive(Debug)]
pub struct RunError;

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the router could not run")
    }
}

impl std::error::Error for RunError {}

/// Clock of one process; its points start at the process's start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoopClock {
    start: Instant,
}

impl LoopClock {
    pub(crate) fn now(self) -> TimePoint {
        TimePoint(0).after(self.start.elapsed())
    }

    pub(crate) fn instant(self, point: TimePoint) -> tokio::time::Instant {
        let wait = point.since(self.now());
        tokio::time::Instant::now() + wait
    }
}

/// Runs a router until it is told to stop and its last request is done.
///
/// # Errors
///
/// Fails when a listen address cannot be bound.
pub async fn run_router(settings: RouterSettings) -> Result<(), Report<RunError>> {
    let local = tokio::task::LocalSet::new();
    local.run_until(run_local(settings)).await
}

async fn run_local(settings: RouterSettings) -> Result<(), Report<RunError>> {
    let clock = LoopClock { start: Instant::now() };
    let platform = PlatformClient::new(settings.platform);
    let (handle, inputs) = LoopHandle::new();
    let metrics = Arc::new(RouterMetrics::new().change_context(RunError)?);
    let limits = &settings.limits;
    let peers = PeerLoop::start(&settings, clock, handle.clone())?;
    let front = caller_router(handle.clone(), peers.clone(), clock, limits.body_bytes);
    let front = Router::new().hoop(RequestHoop(metrics.clone())).push(front);
    let caller = serve(settings.caller_listen, settings.caller_tls.as_ref(), limits, front).await?;
    let observe = ObserveState {
        handle: handle.clone(),
        platform: platform.clone(),
        peers: peers.clone(),
        clock,
        metrics,
    };
    let admin =
        operator_router(handle.clone(), platform.clone(), peers.clone(), clock, settings.operators);
    let admin = Router::new().push(observe_router(observe)).push(admin);
    let operator =
        serve(settings.operator_listen, settings.operator_tls.as_ref(), limits, admin).await?;
    tokio::task::spawn_local(watch_platform(platform.clone(), handle.clone(), peers.clone()));
    tokio::task::spawn_local(sweep_edits(platform.clone(), handle.clone()));
    tokio::task::spawn_local(stop_on_signal(handle.clone(), peers.clone()));
    log::info!(host = settings.host.as_str(); "router started");
    let ledger = OperationLedger::new(settings.host.clone(), platform, handle);
    let core = RouterCore::new(settings.host, rand::random());
    let steps = BTreeMap::new();
    CoreLoop { core, clock, ledger, peers: peers.clone(), steps }.run(inputs).await;
    peers.stop().await;
    caller.stop_graceful(None);
    operator.stop_graceful(None);
    log::info!("router stopped");
    Ok(())
}

async fn stop_on_signal(handle: LoopHandle, peers: PeerHandle) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    terminate.recv().await;
    peers.post(PeerEvent::LeaveAsked);
    handle.post(Event::ShutdownAsked);
}

struct CoreLoop {
    core: RouterCore,
    clock: LoopClock,
    ledger: OperationLedger,
    peers: PeerHandle,
    steps: BTreeMap<RequestKey, mpsc::UnboundedSender<RequestStep>>,
}

impl CoreLoop {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<LoopInput>) {
        while !self.is_done() {
            let deadline = self.core.next_deadline().min(self.ledger.next_deadline());
            let timer = tokio::time::sleep_until(self.clock.instant(deadline));
            let input = tokio::select! {
                input = inputs.recv() => input,
                () = timer => {
                    self.on_timer();
                    continue;
                }
            };
            let Some(input) = input else { return };
            self.on_input(input);
        }
    }

    fn is_done(&self) -> bool {
        let status = self.core.status();
        status.leaving && status.requests == 0 && self.ledger.unfinished() == 0
    }

    fn on_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::Begin(arrival, steps) => {
                self.steps.insert(arrival.request, steps);
                self.on_event(Event::Arrived(arrival));
            }
            LoopInput::Post(event) => self.on_event(event),
            LoopInput::LedgerAnswered(attempt, answer) => {
                let events = self.ledger.on_answer(self.clock.now(), attempt, answer);
                self.on_events(events);
            }
            LoopInput::Query(question) => question(&self.core),
        }
    }

    fn on_timer(&mut self) {
        let mut events = self.ledger.on_timer(self.clock.now());
        events.push(Event::TimerFired);
        self.on_events(events);
    }

    fn on_event(&mut self, event: Event) {
        self.on_events(vec![event]);
    }

    /// Runs events and those that the ledger answers at once, in order.
    fn on_events(&mut self, events: Vec<Event>) {
        let mut queue = VecDeque::from(events);
        while let Some(event) = queue.pop_front() {
            let ended = ended_request(&event);
            for effect in self.core.on_event(self.clock.now(), event) {
                queue.extend(self.run_effect(effect));
            }
            self.drop_closed_steps(ended);
        }
    }

    fn run_effect(&mut self, effect: Effect) -> Vec<Event> {
        let now = self.clock.now();
        match effect {
            Effect::Step(request, step) => self.send_step(request, step),
            Effect::Claim(request, claim) => {
                return self.ledger.on_order(now, Some(request), LedgerOrder::Claim(claim));
            }
            Effect::Complete(request, claim, answer) => {
                let order = LedgerOrder::Complete(claim, answer);
                return self.ledger.on_order(now, Some(request), order);
            }
            Effect::Lose(claim) => {
                return self.ledger.on_order(now, None, LedgerOrder::Lose(claim));
            }
            Effect::Release(claim) => {
                return self.ledger.on_order(now, None, LedgerOrder::Release(claim));
            }
            Effect::Notify(notice) => self.peers.post(PeerEvent::NoticeGiven(notice)),
        }
        Vec::new()
    }

    fn drop_closed_steps(&mut self, ended: Option<RequestKey>) {
        let Some(request) = ended else { return };
        if self.steps.get(&request).is_some_and(mpsc::UnboundedSender::is_closed) {
            self.steps.remove(&request);
        }
    }

    /// A caller that left has dropped its end; the core hears of that by its own event.
    fn send_step(&mut self, request: RequestKey, step: RequestStep) {
        let last = !matches!(step, RequestStep::Send { .. });
        let Some(steps) = self.steps.get(&request) else { return };
        let _ = steps.send(step);
        if last {
            self.steps.remove(&request);
        }
    }
}

fn ended_request(event: &Event) -> Option<RequestKey> {
    match event {
        Event::AttemptEnded(request, ..) | Event::CallerLeft(request) => Some(*request),
        _ => None,
    }
}
