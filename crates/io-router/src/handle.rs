//! The way from tasks to the loop that owns the core.

use std::time::Duration;

use base_types::{Arrival, AttemptKey, RequestKey};
use core_router::{Event, RequestStep, RouterCore};
use state_ledger::CallAnswer;
use tokio::sync::{mpsc, oneshot};

type CoreQuery = Box<dyn FnOnce(&RouterCore) + Send>;

/// Input of the loop.
pub(crate) enum LoopInput {
    /// A new request and where its steps go.
    Begin(Arrival, mpsc::UnboundedSender<RequestStep>),
    /// Any other event.
    Post(Event),
    /// The platform answered a call of the ledger.
    LedgerAnswered(AttemptKey, CallAnswer),
    /// A question about the core's state.
    Query(CoreQuery),
}

/// Where the loop takes its input from.
pub(crate) type LoopInputs = mpsc::UnboundedReceiver<LoopInput>;

/// Handle to the loop; cheap to clone.
#[derive(Clone)]
pub(crate) struct LoopHandle {
    sender: mpsc::UnboundedSender<LoopInput>,
}

impl LoopHandle {
    pub(crate) fn new() -> (Self, LoopInputs) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Posts a request and returns its steps.
    pub(crate) fn begin(&self, arrival: Arrival) -> mpsc::UnboundedReceiver<RequestStep> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.input(LoopInput::Begin(arrival, sender));
        receiver
    }

    pub(crate) fn post(&self, event: Event) {
        self.input(LoopInput::Post(event));
    }

    /// Answers a question from the core's state; `None` when the loop has ended.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        question: impl FnOnce(&RouterCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query = Box::new(move |core: &RouterCore| {
            let _ = sender.send(question(core));
        });
        self.input(LoopInput::Query(query));
        receiver.await.ok()
    }

    /// A random pause before a task that any router may do.
    ///
    /// Each router pauses the longer the more routers there are, so that one of the fleet does the
    /// task once in `fleet_mean` on average and the platform's load does not grow with the fleet.
    pub(crate) async fn fleet_pause(&self, fleet_mean: Duration) -> Duration {
        let routers = self.query(|core| core.entries().count()).await.unwrap_or_default();
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let span = fleet_mean.saturating_mul(2).saturating_mul(routers);
        span.mul_f64(rand::random())
    }

    /// The loop outlives all tasks but for the last moments of a shutdown, when input is moot.
    pub(crate) fn input(&self, input: LoopInput) {
        let _ = self.sender.send(input);
    }
}

/// Tells the core that the caller left, unless the request was finished before.
pub(crate) struct CallerGuard {
    handle: LoopHandle,
    request: Option<RequestKey>,
}

impl CallerGuard {
    pub(crate) fn new(handle: LoopHandle, request: RequestKey) -> Self {
        Self { handle, request: Some(request) }
    }

    pub(crate) fn finish(&mut self) {
        self.request = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let Some(request) = self.request else { return };
        self.handle.post(Event::CallerLeft(request));
    }
}
