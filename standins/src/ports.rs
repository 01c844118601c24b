//! Reservation of loopback ports across concurrent tests.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// Lowest port to reserve. The range is below the ephemeral ports that the
/// system assigns to outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// Highest port to reserve.
const LAST_PORT: u16 = 32_000;

/// TCP ports that remain reserved until this value is dropped.
///
/// A UDP socket with the same number reserves each port, so that the TCP port
/// stays free for the process that listens on it.
pub struct Ports {
    sockets: Vec<UdpSocket>,
    next: u16,
}

impl Ports {
    /// Creates an empty set of reserved ports.
    pub fn new() -> Self {
        let spread = (std::process::id() as u16).wrapping_mul(97);
        let next = FIRST_PORT + spread % (LAST_PORT - FIRST_PORT);
        let sockets = Vec::new();
        Self { sockets, next }
    }

    /// Reserves a port and returns its loopback address.
    pub fn reserve(&mut self) -> SocketAddr {
        loop {
            self.next = match self.next {
                LAST_PORT.. => FIRST_PORT,
                port => port + 1,
            };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            let Ok(socket) = UdpSocket::bind(address) else {
                continue;
            };
            if TcpListener::bind(address).is_ok() {
                self.sockets.push(socket);
                return address;
            }
        }
    }
}

/// Returns an address for datagrams with the number of a reserved port. That port itself is
/// taken by the socket that reserves it.
pub fn datagram_address(reserved: SocketAddr) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, 2), reserved.port()))
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
