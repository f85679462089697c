//! Listening sockets without Nagle's algorithm.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use salvo::{Listener, conn::tcp::TcpAcceptor};
use tokio::net::TcpSocket;

const BACKLOG: u32 = 1024;

/// Binds an address; accepted connections inherit the socket's `TCP_NODELAY`.
///
/// With Nagle's algorithm, a streamed token waits until the caller has acknowledged the previous
/// one, which delayed acknowledgements postpone by up to 40 ms.
pub(crate) struct NodelayListener(pub(crate) SocketAddr);

impl Listener for NodelayListener {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> salvo::Result<TcpAcceptor> {
        let socket = if self.0.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_nodelay(true)?;
        socket.bind(self.0)?;
        Ok(socket.listen(BACKLOG)?.try_into()?)
    }
}
