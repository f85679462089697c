//! The way from tasks to the peer loop.

use std::{net::SocketAddr, time::Duration};

use base_types::HostName;
use core_peers::{PeerCore, PeerEvent};
use error_stack::Report;
use io_wire::{PeerCall, PeerLink, PeerReply, TrafficCounter, WireError};
use tokio::sync::{mpsc, oneshot, watch};

pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

type PeerQuery = Box<dyn FnOnce(&PeerCore) + Send>;

/// Input of the peer loop.
pub(crate) enum PeerInput {
    /// An event.
    Post(PeerEvent),
    /// A question about the core's state.
    Query(PeerQuery),
    /// A link is open; the address is known where this process dialled.
    Linked(PeerLink, Option<SocketAddr>),
    /// Asks for the link to a host.
    FindLink(HostName, oneshot::Sender<Option<PeerLink>>),
    /// Tells the peers that this router goes, and ends the loop.
    Stop(oneshot::Sender<()>),
}

/// Handle to the peer loop; cheap to clone.
#[derive(Clone)]
pub(crate) struct PeerHandle {
    sender: mpsc::UnboundedSender<PeerInput>,
    traffic: TrafficCounter,
    watching: watch::Receiver<bool>,
}

impl PeerHandle {
    pub(super) fn new(
        traffic: TrafficCounter,
        watching: watch::Receiver<bool>,
    ) -> (Self, mpsc::UnboundedReceiver<PeerInput>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender, traffic, watching }, receiver)
    }

    pub(crate) fn post(&self, event: PeerEvent) {
        self.input(PeerInput::Post(event));
    }

    /// Answers a question from the core's state; `None` when the loop has ended.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        question: impl FnOnce(&PeerCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query = Box::new(move |core: &PeerCore| drop(sender.send(question(core))));
        self.input(PeerInput::Query(query));
        receiver.await.ok()
    }

    /// Calls a router that this one has a link to.
    ///
    /// # Errors
    ///
    /// Fails when there is no link, or no reply in time; the call may then have taken effect.
    #[expect(dead_code, reason = "calls of the ledger and of explain come with their owners")]
    pub(crate) async fn call(
        &self,
        host: &HostName,
        call: &PeerCall,
    ) -> Result<PeerReply, Report<WireError>> {
        let (sender, receiver) = oneshot::channel();
        self.input(PeerInput::FindLink(host.clone(), sender));
        let link = receiver.await.ok().flatten();
        let link = link.ok_or_else(|| Report::new(WireError::Unreachable))?;
        link.call(call, CALL_TIMEOUT).await
    }

    /// Bytes on the wire so far.
    pub(crate) fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Whether this router watches the platform for others.
    pub(crate) fn watching(&self) -> watch::Receiver<bool> {
        self.watching.clone()
    }

    /// Tells the peers that this router goes, and closes all links.
    pub(crate) async fn stop(&self) {
        let (sender, receiver) = oneshot::channel();
        self.input(PeerInput::Stop(sender));
        let _ = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
    }

    /// Input that comes after the loop has ended is moot.
    pub(super) fn input(&self, input: PeerInput) {
        let _ = self.sender.send(input);
    }
}
