//! HTTP server shared by the stand-ins, with the control route.

use std::{fmt, net::SocketAddr};

use error_stack::{Report, ResultExt};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor, http::StatusCode,
};
use tokio::net::TcpSocket;

use crate::faults::FaultState;

const LISTEN_BACKLOG: u32 = 1024;
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A stand-in failed to start: its address or its journal cannot be opened.
#[derive(Debug)]
pub struct StandInError;

impl fmt::Display for StandInError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in could not start: cannot bind the address or open the journal")
    }
}

impl std::error::Error for StandInError {}

/// Serves a router, and sets faults at `POST /control`, until the process exits.
pub(crate) async fn serve(
    listen: SocketAddr,
    router: Router,
    faults: FaultState,
) -> Result<(), Report<StandInError>> {
    let acceptor = bind_nodelay(listen).change_context(StandInError)?;
    let control = Router::with_path("control").post(ControlHandler(faults));
    let router = Router::new().push(control).push(router);
    Server::new(acceptor).serve(router).await;
    Ok(())
}

/// Binds an address with `TCP_NODELAY`, so that each chunk is sent at once as engines do.
fn bind_nodelay(listen: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    TcpAcceptor::try_from(socket.listen(LISTEN_BACKLOG)?)
}

/// Reads a body to its end; returns an empty one when the body cannot be read or is too long.
pub(crate) async fn read_body(req: &mut Request) -> bytes::Bytes {
    req.payload_with_max_size(MAX_BODY_BYTES).await.cloned().unwrap_or_default()
}

struct ControlHandler(FaultState);

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match serde_json::from_slice(&read_body(req).await) {
            Ok(faults) => self.0.set(faults),
            Err(error) => {
                res.status_code(StatusCode::BAD_REQUEST);
                res.render(error.to_string());
            }
        }
    }
}
