//! Free ports on loopback, below the range that the system gives to outgoing connections.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

const PORT_FIRST: u16 = 12_000;
const PORT_SPAN: u32 = 20_000;

/// Ports handed out by all sources of this process, so that two of its fleets never meet.
static PORTS_TAKEN: AtomicU16 = AtomicU16::new(0);

/// Hands out free ports of loopback, each at most once.
#[derive(Debug)]
pub struct PortSource {
    offset: u32,
}

impl Default for PortSource {
    /// Starts at a place that depends on this process, so that two fleets rarely meet.
    fn default() -> Self {
        Self { offset: std::process::id().wrapping_mul(397) % PORT_SPAN }
    }
}

impl PortSource {
    /// The next free address of loopback.
    pub fn take(&mut self) -> SocketAddr {
        loop {
            let taken = u32::from(PORTS_TAKEN.fetch_add(1, Ordering::Relaxed));
            let offset = (self.offset + taken) % PORT_SPAN;
            let port = PORT_FIRST + offset as u16;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
