//! Channel from the tasks to the peer event loop.

use std::{net::SocketAddr, time::Duration};

use base_types::HostName;
use core_peers::{PeerCore, PeerEvent};
use error_stack::Report;
use io_wire::{PeerCall, PeerLink, PeerReply, TrafficCounter, WireError};
use tokio::sync::{mpsc, oneshot, watch};

pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

type PeerQuery = Box<dyn FnOnce(&PeerCore) + Send>;

/// Input of the peer event loop.
pub(crate) enum PeerInput {
    /// An event for the peer core.
    Event(PeerEvent),
    /// A closure that reads the peer core's state.
    Query(PeerQuery),
    /// A link was opened; the address is present if this router initiated the connection.
    LinkOpened(PeerLink, Option<SocketAddr>),
    /// Looks up the link to a host.
    FindLink(HostName, oneshot::Sender<Option<PeerLink>>),
    /// Announces to the peers that this router leaves, closes all links and ends the loop.
    Stop(oneshot::Sender<()>),
}

/// Sending end of the peer loop's input channel; cheap to clone.
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
        self.send(PeerInput::Event(event));
    }

    /// Evaluates a closure on the peer core's state; `None` when the loop has ended.
    pub(crate) async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&PeerCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let query = Box::new(move |core: &PeerCore| drop(sender.send(read(core))));
        self.send(PeerInput::Query(query));
        receiver.await.ok()
    }

    /// Calls a linked router.
    ///
    /// # Errors
    ///
    /// Fails when there is no link, or no reply in time; the call may then have taken effect.
    pub(crate) async fn call(
        &self,
        host: &HostName,
        call: &PeerCall,
    ) -> Result<PeerReply, Report<WireError>> {
        let (sender, receiver) = oneshot::channel();
        self.send(PeerInput::FindLink(host.clone(), sender));
        let link = receiver.await.ok().flatten();
        let link = link.ok_or_else(|| Report::new(WireError::Unreachable))?;
        link.call(call, CALL_TIMEOUT).await
    }

    /// Counters of the peer traffic since the process started.
    pub(crate) fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Whether this router watches the platform on behalf of its peers.
    pub(crate) fn watching(&self) -> watch::Receiver<bool> {
        self.watching.clone()
    }

    /// Announces to the peers that this router leaves, and closes all links.
    pub(crate) async fn stop(&self) {
        let (sender, receiver) = oneshot::channel();
        self.send(PeerInput::Stop(sender));
        let _ = tokio::time::timeout(STOP_TIMEOUT, receiver).await;
    }

    /// Ignores a closed channel: after the loop has ended, input no longer matters.
    pub(super) fn send(&self, input: PeerInput) {
        let _ = self.sender.send(input);
    }
}
