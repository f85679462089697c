//! A loopback proxy that disturbs the connections through it.

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

/// How a proxy treats connections; the names of the variants are printed in verdict lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Bytes are forwarded in both directions.
    Forward,
    /// Bytes are forwarded after a delay.
    Delay(Duration),
    /// Open and new connections are reset.
    Reset,
    /// Open and new connections stay open, and no bytes are forwarded in either direction.
    Silent,
    /// Bytes from the client are forwarded; bytes from the server are not.
    OneWay,
}

/// A proxy in front of one address; clones share the mode.
#[derive(Debug, Clone)]
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    upstream: SocketAddr,
}

impl FaultProxy {
    /// Starts a proxy in front of an address.
    pub(crate) async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (mode, _) = watch::channel(ProxyMode::Forward);
        let proxy = Self { address: listener.local_addr()?, mode, upstream };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        Ok(proxy)
    }

    /// Sets the mode of all connections, open ones included.
    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    async fn serve(self, mut client: TcpStream) {
        if *self.mode.borrow() == ProxyMode::Reset {
            return reset(&client);
        }
        let Ok(mut server) = TcpStream::connect(self.upstream).await else { return reset(&client) };
        if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
            return;
        }
        let mut mode = self.mode.subscribe();
        let is_reset = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            let requests = forward(client_read, server_write, self.mode.subscribe(), false);
            let responses = forward(server_read, client_write, self.mode.subscribe(), true);
            tokio::select! {
                _ = async { tokio::join!(requests, responses) } => false,
                _ = mode.wait_for(|mode| *mode == ProxyMode::Reset) => true,
            }
        };
        if is_reset {
            reset(&client);
            reset(&server);
        }
    }
}

/// Forwards bytes in one direction until the sender closes the connection.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<ProxyMode>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        let now = *mode.borrow_and_update();
        match now {
            // The bytes already read are lost, so the connection cannot be used again.
            ProxyMode::Silent => std::future::pending::<()>().await,
            ProxyMode::OneWay if is_response => std::future::pending::<()>().await,
            ProxyMode::Delay(delay) => tokio::time::sleep(delay).await,
            ProxyMode::OneWay | ProxyMode::Forward | ProxyMode::Reset => {}
        }
        if length == 0 {
            // The receiver may have closed the connection already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Resets a connection: closing a socket whose linger time is zero sends RST.
fn reset(stream: &TcpStream) {
    #[expect(deprecated, reason = "a linger of zero does not block")]
    if let Err(error) = stream.set_linger(Some(Duration::ZERO)) {
        eprintln!("cannot reset a connection, it is closed instead: {error}");
    }
}
