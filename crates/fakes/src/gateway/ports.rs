//! Ports for programs under test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports from here on are given out; the system takes those of its own connections from 32,768.
const FIRST_PORT: u16 = 20_000;
const PORTS: u16 = 12_000;
/// Distance of the first ports of processes that start one after the other.
const PROCESS_STRIDE: u32 = 1_009;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address whose port is free for TCP and UDP and is given out once in this process.
///
/// A port that the system chose and that was closed again could be taken by a connection before
/// the program under test binds it.
///
/// # Panics
///
/// Panics when no port is free.
pub fn free_address() -> SocketAddr {
    let offset = (std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORTS)) as u16;
    for _ in 0..PORTS {
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset + index % PORTS) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port from {FIRST_PORT} on is free");
}
