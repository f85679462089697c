//! Free ports on loopback, below the range that the system gives to outgoing connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const PORT_FIRST: u16 = 12_000;
const PORT_LAST: u16 = 32_000;

/// Hands out free ports of loopback, each at most once.
#[derive(Debug)]
pub(crate) struct PortSource {
    next: u16,
}

impl PortSource {
    /// Starts at a place that depends on this process, so that two fleets rarely meet.
    pub(crate) fn new() -> Self {
        let span = u32::from(PORT_LAST - PORT_FIRST);
        let offset = std::process::id().wrapping_mul(397) % span;
        Self { next: PORT_FIRST + offset as u16 }
    }

    pub(crate) fn take(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = if self.next >= PORT_LAST { PORT_FIRST } else { self.next + 1 };
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }
}
