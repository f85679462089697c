//! A loopback proxy that harms connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
};

const BUFFER: usize = 16 * 1024;

/// What a proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProxyMood {
    /// Bytes pass.
    Well,
    /// Bytes pass after a time.
    Delay(Duration),
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open and new connections stay up and bring nothing, either way.
    Silent,
    /// Bytes reach the other side, and nothing comes back.
    OneWay,
}

/// A proxy before one address.
#[derive(Debug, Clone)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    mood: watch::Sender<ProxyMood>,
    target: SocketAddr,
}

impl FaultProxy {
    /// Starts a proxy before an address.
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (mood, _) = watch::channel(ProxyMood::Well);
        let proxy = Self { address: listener.local_addr()?, mood, target };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        Ok(proxy)
    }

    /// Changes what happens to all connections, open ones included.
    pub(crate) fn be(&self, mood: ProxyMood) {
        self.mood.send_replace(mood);
    }

    async fn serve(self, mut near: TcpStream) {
        if *self.mood.borrow() == ProxyMood::Reset {
            return reset(&near);
        }
        let Ok(mut far) = TcpStream::connect(self.target).await else { return reset(&near) };
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            return;
        }
        let mut mood = self.mood.subscribe();
        let harmed = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            let there = pass(near_read, far_write, self.mood.subscribe(), false);
            let back = pass(far_read, near_write, self.mood.subscribe(), true);
            tokio::select! {
                _ = async { tokio::join!(there, back) } => false,
                _ = mood.wait_for(|mood| *mood == ProxyMood::Reset) => true,
            }
        };
        if harmed {
            reset(&near);
            reset(&far);
        }
    }
}

/// Passes bytes one way until their source ends.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mood: watch::Receiver<ProxyMood>,
    back: bool,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        let now = *mood.borrow_and_update();
        match now {
            // Bytes that come meanwhile are lost, and so is the connection.
            ProxyMood::Silent => std::future::pending::<()>().await,
            ProxyMood::OneWay if back => std::future::pending::<()>().await,
            ProxyMood::Delay(wait) => tokio::time::sleep(wait).await,
            ProxyMood::OneWay | ProxyMood::Well | ProxyMood::Reset => {}
        }
        if length == 0 {
            // The other end may be gone already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// A socket that is closed with no time to linger is reset.
fn reset(stream: &TcpStream) {
    #[expect(deprecated, reason = "a linger of zero does not block")]
    if let Err(error) = stream.set_linger(Some(Duration::ZERO)) {
        eprintln!("a connection is closed and not reset: {error}");
    }
}
