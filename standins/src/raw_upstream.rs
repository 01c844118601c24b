//! An upstream that writes its answers byte for byte, on the thread of its test.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::listener::close_listener;

const BUFFER_BYTES: usize = 16 << 10;

/// The time for which a reset is delayed, so that the bytes before it arrive.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// How an upstream ends its connection after the last byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// It closes the connection in order.
    Close,
    /// It resets the connection.
    Reset,
    /// It stops listening and closes the connection in order, as a process that dies.
    Crash,
    /// The same after a pause, in which a test can let the upstream leave.
    CrashAfterPause,
}

/// The pause before a crash.
const CRASH_PAUSE: Duration = Duration::from_millis(400);

/// Starts an upstream that answers each request with status 200, `headers`, which are
/// complete lines, and `body`, and then ends the connection. It returns the
/// `request-id` of the request.
pub async fn start_raw_upstream(headers: &str, body: &[u8], end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("it has an address");
    let headers = headers.to_owned();
    let body = body.to_vec();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let crashes = matches!(end, ConnectionEnd::Crash | ConnectionEnd::CrashAfterPause);
            if crashes {
                close_listener(listener);
                return answer(stream, headers, body, end).await;
            }
            actix_rt::spawn(answer(stream, headers.clone(), body.clone(), end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, headers: String, body: Vec<u8>, end: ConnectionEnd) {
    let head = read_request(&mut stream).await;
    let id = header(&head, "request-id").unwrap_or_default();
    let answer_head =
        format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: raw\r\n{headers}\r\n");
    // The caller may have closed the connection.
    let _ = stream.write_all(answer_head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    if end == ConnectionEnd::CrashAfterPause {
        actix_rt::time::sleep(CRASH_PAUSE).await;
    }
    if end == ConnectionEnd::Reset {
        actix_rt::time::sleep(RESET_DELAY).await;
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads a request with its body, because unread bytes would turn the close into a
/// reset, and returns its head in lower case. It is cut if the connection ends.
pub async fn read_request(stream: &mut TcpStream) -> String {
    let mut request = String::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        if let Some((head, body)) = request.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|v| v.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return head.to_owned();
            }
        }
        match stream.read(&mut buf).await {
            Ok(length) if length > 0 => {
                request += &String::from_utf8_lossy(&buf[..length]).to_lowercase();
            }
            Ok(_) | Err(_) => return request,
        }
    }
}

/// Returns the value of the header `name` in a head, both in lower case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(n, _)| *n == name).map(|(_, value)| value)
}
