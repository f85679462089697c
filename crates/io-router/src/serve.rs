//! Listening ports, with or without TLS, and what one connection may use.

use std::net::SocketAddr;

use base_settings::{LimitSettings, TlsSettings};
use error_stack::{Report, ResultExt};
use salvo::{
    Listener, Router, Server,
    conn::{
        Acceptor,
        rustls::{Keycert, RustlsConfig, RustlsListener},
        tcp::TcpAcceptor,
    },
    fuse::FuseConfig,
    server::ServerHandle,
};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::RunError;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A port that is being served.
pub(crate) struct ServerTask {
    /// Stops the port.
    pub(crate) handle: ServerHandle,
    /// Ends when the last connection of the port has closed.
    pub(crate) task: JoinHandle<()>,
}

/// Serves a router of handlers on a listening port until its handle stops it.
pub(crate) async fn serve(
    address: SocketAddr,
    tls: Option<&TlsSettings>,
    limits: &LimitSettings,
    router: Router,
) -> Result<ServerTask, Report<RunError>> {
    let listener = PromptListener(address);
    let refused = || format!("cannot listen on {address}");
    let Some(tls) = tls else {
        let acceptor = listener.try_bind().await.change_context(RunError).attach_with(refused)?;
        return Ok(spawn_server(acceptor, limits, router));
    };
    let keycert = Keycert::new().cert(tls.certificates.as_ref()).key(tls.key.reveal().as_ref());
    let listener = RustlsListener::new(RustlsConfig::new(keycert), listener);
    let acceptor = listener.try_bind().await;
    let acceptor = acceptor.change_context(RunError).attach_with(refused)?;
    Ok(spawn_server(acceptor, limits, router))
}

/// A listener whose connections send each piece at once.
///
/// Accepted connections take the option over from the listening socket. Without it the last piece
/// of a streamed answer waits for the caller's delayed acknowledgement, some 40 ms.
struct PromptListener(SocketAddr);

impl Listener for PromptListener {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> salvo::Result<TcpAcceptor> {
        let socket = if self.0.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_nodelay(true)?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.0)?;
        Ok(TcpAcceptor::try_from(socket.listen(BACKLOG)?)?)
    }
}

fn spawn_server<A: Acceptor + Send + 'static>(
    acceptor: A,
    limits: &LimitSettings,
    router: Router,
) -> ServerTask {
    // Callers' bodies have a deadline of their own with a result code; this gap ends all others.
    let body_gap = limits.body_wait * 2;
    let fuse = FuseConfig::default()
        .with_tls_handshake_timeout(limits.header_wait)
        .with_http1_header_timeout(limits.header_wait)
        .with_request_body_timeout(body_gap)
        .with_write_stall_timeout(limits.write_wait);
    let server = Server::new(acceptor).fuse_config(fuse);
    let mut server = server.max_connections(limits.connections);
    server.http1_mut().max_buf_size(limits.header_bytes);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    ServerTask { handle, task }
}
