//! Sockets that notice a silent other end.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// Time for a connection to be established. It takes some milliseconds; a lost opening packet is
/// sent again after 1 s, which is later than a call is sent elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which sent bytes that are not acknowledged end the connection.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);

/// Silence after which a connection is probed, and the time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer that end the connection.
const PROBES_MAX: u32 = 2;

/// Connects and sets the socket up.
pub(crate) async fn connect_target(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_up(&stream)?;
    Ok(stream)
}

/// Sends small writes at once, and probes a silent other end.
pub(crate) fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_EVERY).with_interval(PROBE_EVERY);
    socket.set_tcp_keepalive(&probes.with_retries(PROBES_MAX))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
