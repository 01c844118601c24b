//! An upstream that reads requests slowly, on the thread of its test.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::raw_upstream::header;

/// The receive buffer of a connection, in bytes. It is small, so that a body does not fit.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// The number of bytes that are read before the pause.
const FIRST_READ_BYTES: usize = 2 << 10;

const BUFFER_BYTES: usize = 64 << 10;

/// An upstream that pauses before it reads the body of a request.
pub struct SlowUpstream {
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    counts: Rc<Counts>,
}

#[derive(Default)]
struct Counts {
    begun: Cell<usize>,
    whole: Cell<usize>,
}

impl SlowUpstream {
    /// Starts an upstream that pauses for `pause`, and answers when it has read the request.
    pub async fn start(pause: Duration) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("it has an address");
        // Connections inherit it.
        SockRef::from(&listener)
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("the buffer can be set");
        let counts = Rc::new(Counts::default());
        let shared = Rc::clone(&counts);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counts = Rc::clone(&shared);
                actix_rt::spawn(async move { answer(stream, pause, &counts).await });
            }
        });
        Self { address, counts }
    }

    /// Returns the number of requests of which the head has arrived.
    pub fn begun(&self) -> usize {
        self.counts.begun.get()
    }

    /// Returns the number of requests that have arrived whole.
    pub fn whole(&self) -> usize {
        self.counts.whole.get()
    }
}

async fn answer(mut stream: TcpStream, pause: Duration, counts: &Counts) {
    let mut buf = vec![0; BUFFER_BYTES];
    let Ok(count) = stream.read(&mut buf[..FIRST_READ_BYTES]).await else {
        return;
    };
    let first = String::from_utf8_lossy(&buf[..count]).to_lowercase();
    let Some((head, body)) = first.split_once("\r\n\r\n") else {
        return;
    };
    if !head.starts_with("post") {
        return;
    }
    counts.begun.set(counts.begun.get() + 1);
    let id = header(head, "request-id").unwrap_or_default();
    let length = header(head, "content-length").and_then(|v| v.parse().ok());
    let mut missing = length.unwrap_or(0) - body.len().min(length.unwrap_or(0));
    actix_rt::time::sleep(pause).await;
    while missing > 0 {
        match stream.read(&mut buf).await {
            Ok(count) if count > 0 => missing -= count.min(missing),
            Ok(_) | Err(_) => return,
        }
    }
    counts.whole.set(counts.whole.get() + 1);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: raw\r\ncontent-length: 2\r\n\r\nok"
    );
    // The caller may have closed the connection.
    let _ = stream.write_all(answer.as_bytes()).await;
}
