//! Loopback ports that no other test takes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;

/// The range of reserved ports lies below the one from which the system draws
/// ports for outgoing connections.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

/// TCP ports that are reserved as long as this lives.
///
/// A port is held by a UDP socket of the same number, which leaves the TCP
/// port free for the process that is to listen on it.
pub struct Ports {
    held: Vec<UdpSocket>,
    next: u16,
}

impl Ports {
    /// Reserves no ports yet.
    pub fn new() -> Self {
        let spread = (std::process::id() as u16).wrapping_mul(97);
        let next = FIRST_PORT + spread % (LAST_PORT - FIRST_PORT);
        let held = Vec::new();
        Self { held, next }
    }

    /// Reserves a port of the loopback address.
    pub fn reserve(&mut self) -> SocketAddr {
        loop {
            self.next = match self.next {
                LAST_PORT.. => FIRST_PORT,
                port => port + 1,
            };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            let Ok(held) = UdpSocket::bind(address) else {
                continue;
            };
            if TcpListener::bind(address).is_ok() {
                self.held.push(held);
                return address;
            }
        }
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
