//! HTTP servers with or without TLS, and the limits of a connection.

use std::net::SocketAddr;

use base_settings::{LimitSettings, TlsSettings};
use error_stack::{Report, ResultExt};
use salvo::{
    Listener, Router, Server,
    conn::{
        Acceptor,
        rustls::{Keycert, RustlsConfig, RustlsListener},
    },
    fuse::FuseConfig,
    server::ServerHandle,
};

use tokio::task::JoinHandle;

use crate::{RunError, listen::NodelayListener};

/// A running HTTP server.
pub(crate) struct ServerTask {
    /// Stops the server.
    pub(crate) handle: ServerHandle,
    /// Completes when the last connection of the server has closed.
    pub(crate) task: JoinHandle<()>,
}

/// Binds an address and serves a router's handlers there until the handle stops the server.
pub(crate) async fn serve(
    address: SocketAddr,
    tls: Option<&TlsSettings>,
    limits: &LimitSettings,
    router: Router,
) -> Result<ServerTask, Report<RunError>> {
    let listener = NodelayListener(address);
    let bind_error = || format!("cannot listen on {address}");
    let Some(tls) = tls else {
        let acceptor =
            listener.try_bind().await.change_context(RunError).attach_with(bind_error)?;
        return Ok(spawn_server(acceptor, limits, router));
    };
    let keycert = Keycert::new().cert(tls.certificates.as_ref()).key(tls.key.reveal().as_ref());
    let acceptor = RustlsListener::new(RustlsConfig::new(keycert), listener).try_bind().await;
    let acceptor = acceptor.change_context(RunError).attach_with(bind_error)?;
    Ok(spawn_server(acceptor, limits, router))
}

fn spawn_server<A: Acceptor + Send + 'static>(
    acceptor: A,
    limits: &LimitSettings,
    router: Router,
) -> ServerTask {
    // `read_call` applies a shorter timeout with a result code to callers' bodies; this one is for
    // all other bodies.
    let body_timeout = limits.body_timeout * 2;
    let fuse = FuseConfig::default()
        .with_tls_handshake_timeout(limits.header_timeout)
        .with_http1_header_timeout(limits.header_timeout)
        .with_request_body_timeout(body_timeout)
        .with_write_stall_timeout(limits.write_timeout);
    let server = Server::new(acceptor).fuse_config(fuse);
    let mut server = server.max_connections(limits.connections_max);
    server.http1_mut().max_buf_size(limits.header_bytes_max);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    ServerTask { handle, task }
}
