//! Close of a connection whose caller may still be sending.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// The maximum time for which a connection is kept open after its last answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// The maximum number of bytes that are read after the last answer. It is more than a
/// caller can have sent into the buffers of both hosts.
const MAX_LINGER_BYTES: usize = 8 << 20;

/// The size of one read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Ends the answers on `stream` and discards what the caller still sends, until it closes
/// the connection. A connection that is closed with unread bytes is reset, and the reset
/// can overtake the answer, for example the refusal of a request that is not valid.
pub(super) async fn linger(stream: &TcpStream) {
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        // The caller has reset the connection.
        return;
    }
    // A caller that does not close its connection in time is cut off.
    let _ = actix_rt::time::timeout(LINGER_TIME, discard(stream)).await;
}

async fn discard(stream: &TcpStream) {
    let mut discarded = 0;
    while discarded < MAX_LINGER_BYTES && stream.readable().await.is_ok() {
        let mut buf = [0; READ_BYTES];
        match stream.try_read(&mut buf) {
            Ok(0) => return,
            Ok(count) => discarded += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
