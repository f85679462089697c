//! Stand-in of the network between one router and one runner.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::timeout,
};

use super::free_address;

/// Pending connections that a listener of a hanging link takes before the system drops further ones.
const HANGING_BACKLOG: u32 = 1;
const BACKLOG: u32 = 256;
/// Time after which a connection attempt counts as hanging.
const HANG_TIME: Duration = Duration::from_millis(50);
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// How a link treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded in both directions.
    Up,
    /// Open connections are reset, new ones are refused.
    Refused,
    /// Open connections stay open and carry no bytes, new ones are never established.
    Hanging,
    /// Open connections go on, new ones are refused.
    Kept,
}

/// The stand-in; clones share the mode.
#[derive(Debug, Clone)]
pub struct RunnerLink {
    /// Address at which the router reaches the runner.
    pub address: SocketAddr,
    runner: SocketAddr,
    mode: watch::Sender<LinkMode>,
    accepted: watch::Sender<usize>,
}

impl RunnerLink {
    /// Starts a link to a runner.
    pub async fn start(runner: SocketAddr) -> Self {
        // The system would give a port that it chose itself to others while the link is down.
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("cannot bind a port");
        let link = Self {
            address,
            runner,
            mode: watch::Sender::new(LinkMode::Up),
            accepted: watch::Sender::new(0),
        };
        tokio::spawn(link.clone().serve(listener));
        link
    }

    /// Sets how connections are treated from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Number of connections that the link accepted.
    pub fn accepted(&self) -> usize {
        *self.accepted.borrow()
    }

    async fn serve(self, mut listener: TcpListener) {
        let mut mode = self.mode.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    self.accepted.send_modify(|accepted| *accepted += 1);
                    tokio::spawn(self.clone().forward(stream));
                }
                down_mode = wait_until_down(&mut mode) => {
                    // The port is closed in all modes; a hanging one is opened again, and filled.
                    drop(listener);
                    let fillers = match down_mode {
                        LinkMode::Hanging => Some(self.fill_backlog().await),
                        _ => None,
                    };
                    let is_up = mode.wait_for(|mode| *mode == LinkMode::Up).await.is_ok();
                    drop(fillers);
                    if !is_up {
                        return;
                    }
                    listener = self.listen(BACKLOG).await;
                }
            }
        }
    }

    /// Opens the port so that connections are never established: the pending ones fill its backlog.
    async fn fill_backlog(&self) -> (TcpListener, Vec<TcpStream>) {
        let listener = self.listen(HANGING_BACKLOG).await;
        let mut fillers = Vec::new();
        while let Ok(Ok(filler)) = timeout(HANG_TIME, TcpStream::connect(self.address)).await {
            fillers.push(filler);
        }
        (listener, fillers)
    }

    async fn listen(&self, backlog: u32) -> TcpListener {
        loop {
            let socket = TcpSocket::new_v4().expect("cannot open a socket");
            socket.set_reuseaddr(true).expect("cannot configure the socket");
            if socket.bind(self.address).is_ok()
                && let Ok(listener) = socket.listen(backlog)
            {
                return listener;
            }
            tokio::time::sleep(REBIND_INTERVAL).await;
        }
    }

    async fn forward(self, mut router: TcpStream) {
        let Ok(mut runner) = TcpStream::connect(self.runner).await else { return };
        let mut mode = self.mode.subscribe();
        let cut = {
            let copying = tokio::io::copy_bidirectional(&mut router, &mut runner);
            tokio::select! {
                _ = copying => return,
                cut = mode.wait_for(|mode| matches!(mode, LinkMode::Refused | LinkMode::Hanging)) => {
                    cut.map(|cut| *cut)
                }
            }
        };
        match cut {
            Ok(LinkMode::Hanging) => {
                // The connection is dropped when the link is up again: what it carried is lost.
                let _ = mode.wait_for(|mode| *mode != LinkMode::Hanging).await;
            }
            _ => router.set_zero_linger().expect("cannot configure the socket"),
        }
    }
}

/// Waits until the link is not up; returns how it treats connections then.
async fn wait_until_down(mode: &mut watch::Receiver<LinkMode>) -> LinkMode {
    mode.wait_for(|mode| *mode != LinkMode::Up).await.map_or(LinkMode::Up, |mode| *mode)
}
