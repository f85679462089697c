//! Free loopback ports, below the range that the system uses for outgoing connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 20_000;

/// Number of ports allocated by all sources of this process, so that no two of its fleets share a
/// port.
static PORTS_ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Allocates free loopback ports, each at most once per process until the range wraps around.
///
/// The range overlaps with that of `fakes::free_address`; only the bind test keeps the two apart.
#[derive(Debug)]
pub struct PortSource {
    offset: u32,
}

impl Default for PortSource {
    /// Starts at an offset that depends on the process id, so that fleets of different processes
    /// rarely use the same ports.
    fn default() -> Self {
        Self { offset: std::process::id().wrapping_mul(397) % PORT_COUNT }
    }
}

impl PortSource {
    /// Allocates the next loopback address whose port is free for TCP and UDP.
    pub fn allocate(&mut self) -> SocketAddr {
        loop {
            let allocated = u32::from(PORTS_ALLOCATED.fetch_add(1, Ordering::Relaxed));
            let offset = (self.offset + allocated) % PORT_COUNT;
            let port = FIRST_PORT + offset as u16;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
