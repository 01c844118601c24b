//! An upstream that cuts off answers which are not read, on the thread of its test.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::raw_upstream::header;
use crate::raw_upstream::read_request;

/// The send buffer of a connection, in bytes. It is small, so that unread answers are
/// noticed early.
const SEND_BUFFER_BYTES: usize = 8 << 10;

/// The number of bytes that are written at once.
const WRITE_BYTES: usize = 8 << 10;

/// The number of bytes of one event.
const EVENT_BYTES: usize = 128;

/// An upstream that resets the connection of an answer of which nothing is read for some
/// time.
pub struct ImpatientUpstream {
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    counts: Rc<Counts>,
}

#[derive(Default)]
struct Counts {
    answers: Cell<usize>,
    cut_off: Cell<usize>,
}

impl ImpatientUpstream {
    /// Starts an upstream with answers of `length` bytes, which are cut off when they stay
    /// unread for `patience`.
    pub async fn start(length: usize, patience: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("it has an address");
        let counts = Rc::new(Counts::default());
        let shared = Rc::clone(&counts);
        let body = Rc::new(Self::body(length));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (body, counts) = (Rc::clone(&body), Rc::clone(&shared));
                actix_rt::spawn(async move { answer(stream, &body, patience, &counts).await });
            }
        });
        Self { address, counts }
    }

    /// Returns the number of answers that have begun.
    pub fn answers(&self) -> usize {
        self.counts.answers.get()
    }

    /// Returns the number of answers that were cut off.
    pub fn cut_off(&self) -> usize {
        self.counts.cut_off.get()
    }

    /// Returns the body of an answer of about `length` bytes: a stream of events.
    pub fn body(length: usize) -> String {
        let events = (1..=length.div_ceil(EVENT_BYTES)).map(|number| {
            let data = "x".repeat(EVENT_BYTES - 20);
            format!("id: {number}\ndata: {data}\n\n")
        });
        events.collect()
    }
}

async fn answer(mut stream: TcpStream, body: &str, patience: Duration, counts: &Counts) {
    // Fails only if the peer has closed the connection.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let request = read_request(&mut stream).await;
    if !request.starts_with("post") {
        return;
    }
    counts.answers.set(counts.answers.get() + 1);
    let id = header(&request, "request-id").unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: raw\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body.as_bytes()].concat();
    for part in bytes.chunks(WRITE_BYTES) {
        match actix_rt::time::timeout(patience, stream.write_all(part)).await {
            Ok(Ok(())) => {}
            // The peer has closed the connection.
            Ok(Err(_)) => return,
            Err(_) => {
                counts.cut_off.set(counts.cut_off.get() + 1);
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
        }
    }
}
