//! TCP socket options that detect an unresponsive remote end.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Timeout for establishing a connection, which normally takes some milliseconds. A lost SYN is
/// retransmitted only after 1 s; by then the call has been retried elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `TCP_USER_TIMEOUT` of connections to targets and other routers: the connection is closed if sent bytes stay
/// unacknowledged this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `TCP_USER_TIMEOUT` of callers' connections. It also ends connections whose caller acknowledges bytes but
/// reads none; with 1.5 s, streams of callers that paused for 2.8 s were cut. Longer than a caller may take no
/// bytes where memory is limited, so that the router knows why the connection ended.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connects to a target and configures the socket.
pub(crate) async fn connect_target(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(&stream, USER_TIMEOUT)?;
    Ok(stream)
}

/// Configures the connection of a caller, which may read slowly.
pub(crate) fn configure_caller(stream: &TcpStream) -> io::Result<()> {
    configure(stream, CALLER_USER_TIMEOUT)
}

/// Disables Nagle's algorithm and enables keepalive probes and the user timeout.
fn configure(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_RETRIES))?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
