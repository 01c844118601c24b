//! The end of a listener as that of its process.

use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpListener;

#[cfg(test)]
mod tests;

/// Closes a listener at once, as the death of its process does.
///
/// A process that another thread is starting holds a copy of all sockets until it runs its
/// program. Beside load that takes milliseconds, in which a listener that was only dropped
/// still accepts connections.
pub fn close_listener(listener: TcpListener) {
    // Fails only for a socket that does not listen any more.
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
    drop(listener);
}
