//! What the stand-ins share: serving a router of handlers on a socket.

use std::{fmt, net::SocketAddr};

use error_stack::{Report, ResultExt};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor, http::StatusCode,
};
use tokio::net::TcpSocket;

use crate::faults::FaultState;

const BACKLOG: u32 = 1024;
const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A stand-in could not run.
#[derive(Debug)]
pub struct FakeError;

impl fmt::Display for FakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in could not run")
    }
}

impl std::error::Error for FakeError {}

/// Serves handlers, and the orders to fail at `POST /control`, until the process ends.
pub(crate) async fn serve(
    listen: SocketAddr,
    router: Router,
    faults: FaultState,
) -> Result<(), Report<FakeError>> {
    let acceptor = bind_prompt(listen).change_context(FakeError)?;
    let control = Router::with_path("control").post(ControlHandler(faults));
    let router = Router::new().push(control).push(router);
    Server::new(acceptor).serve(router).await;
    Ok(())
}

/// Binds a port whose connections send each piece at once, as engines do.
fn bind_prompt(listen: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}

/// Reads a whole body; a body that cannot be read is empty.
pub(crate) async fn read_body(req: &mut Request) -> bytes::Bytes {
    req.payload_with_max_size(BODY_BYTES_MAX).await.cloned().unwrap_or_default()
}

struct ControlHandler(FaultState);

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match serde_json::from_slice(&read_body(req).await) {
            Ok(order) => self.0.set(order),
            Err(error) => {
                res.status_code(StatusCode::BAD_REQUEST);
                res.render(error.to_string());
            }
        }
    }
}
