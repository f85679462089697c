//! Channel from the tasks to the event loop that owns the core.

use std::time::Duration;

use base_types::{AttemptKey, IncomingRequest, RequestKey};
use core_router::{Event, RequestStep, RouterCore};
use state_ledger::LedgerCallOutcome;
use tokio::sync::{mpsc, oneshot};

type CoreQuery = Box<dyn FnOnce(&RouterCore) + Send>;

/// Input of the event loop.
pub(crate) enum LoopInput {
    /// A new request and the channel that receives its steps.
    NewRequest(IncomingRequest, mpsc::UnboundedSender<RequestStep>),
    /// Any other event for the core.
    Event(Event),
    /// The platform answered a ledger call of this attempt.
    LedgerAnswered(AttemptKey, LedgerCallOutcome),
    /// A closure that reads the core's state.
    Query(CoreQuery),
}

/// Receiving end of the loop's input channel.
pub(crate) type LoopInputs = mpsc::UnboundedReceiver<LoopInput>;

/// Sending end of the loop's input channel; cheap to clone.
#[derive(Clone)]
pub(crate) struct LoopHandle {
    sender: mpsc::UnboundedSender<LoopInput>,
}

impl LoopHandle {
    pub(crate) fn new() -> (Self, LoopInputs) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Submits a request and returns the channel of its steps.
    pub(crate) fn start_request(
        &self,
        incoming: IncomingRequest,
    ) -> mpsc::UnboundedReceiver<RequestStep> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.send(LoopInput::NewRequest(incoming, sender));
        receiver
    }

    pub(crate) fn post(&self, event: Event) {
        self.send(LoopInput::Event(event));
    }

    /// Evaluates a closure on the core's state; `None` when the loop has exited.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&RouterCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query = Box::new(move |core: &RouterCore| {
            let _ = sender.send(read(core));
        });
        self.send(LoopInput::Query(query));
        receiver.await.ok()
    }

    /// A random interval between two runs of a task that any router of the fleet may run.
    ///
    /// The interval grows with the number of routers, so that one of them runs the task once per
    /// `fleet_interval_mean` on average and the platform's load does not grow with the fleet.
    pub(crate) async fn random_fleet_interval(&self, fleet_interval_mean: Duration) -> Duration {
        let routers = self.query(|core| core.entry_hosts().count()).await.unwrap_or_default();
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let interval_max = fleet_interval_mean.saturating_mul(2).saturating_mul(routers);
        interval_max.mul_f64(rand::random())
    }

    /// Ignores a closed channel: the loop outlives all tasks except at the very end of a shutdown,
    /// when input no longer matters.
    pub(crate) fn send(&self, input: LoopInput) {
        let _ = self.sender.send(input);
    }
}

/// Reports to the core, when dropped, that the caller disconnected; disarmed once the request has
/// finished.
pub(crate) struct CallerGuard {
    handle: LoopHandle,
    request: Option<RequestKey>,
}

impl CallerGuard {
    pub(crate) fn new(handle: LoopHandle, request: RequestKey) -> Self {
        Self { handle, request: Some(request) }
    }

    pub(crate) fn disarm(&mut self) {
        self.request = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let Some(request) = self.request else { return };
        self.handle.post(Event::CallerDisconnected(request));
    }
}
