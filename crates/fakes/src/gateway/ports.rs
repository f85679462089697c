//! Free ports for programs under test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

/// First port given out; the system takes the ports of outgoing connections from 32,768 on.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// Distance between the first ports of processes with consecutive ids.
const PORT_STRIDE: u32 = 1_009;

static NEXT_INDEX: AtomicU16 = AtomicU16::new(0);

/// A loopback address whose port is free for TCP and UDP. Each port is given out once in this
/// process until the range wraps around.
///
/// Not a port chosen by the system (bind to 0): once released, the system may give it to an
/// outgoing connection before the program under test binds it. The range overlaps with that of
/// `local_fleet::PortSource`; only the bind test keeps the two apart.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_address() -> SocketAddr {
    let offset = (std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let index = NEXT_INDEX.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + index % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("none of the {PORT_COUNT} ports from {FIRST_PORT} on is free");
}
