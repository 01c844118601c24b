//! An upstream whose streams stop in the middle until its test lets them go on.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::raw_upstream::header;
use crate::raw_upstream::read_request;

/// The number of events in a whole stream.
const EVENTS: u64 = 10;

/// The number of events that are sent before the pause.
const EVENTS_BEFORE_PAUSE: u64 = 5;

/// An upstream whose streams pause after their first half. It runs on the thread of its
/// test.
pub struct PacedUpstream {
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

struct State {
    released: watch::Sender<bool>,
    /// The number of answers that have begun.
    answers: Cell<usize>,
}

impl PacedUpstream {
    /// Starts an upstream that holds the second half of each stream back.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("it has an address");
        let state = Rc::new(State {
            released: watch::Sender::new(false),
            answers: Cell::new(0),
        });
        let shared = Rc::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(answer(stream, Rc::clone(&shared)));
            }
        });
        Self { address, state }
    }

    /// Lets all streams go on, and later ones run without a pause.
    pub fn release(&self) {
        self.state.released.send_replace(true);
    }

    /// Returns the number of answers that have begun.
    pub fn answers(&self) -> usize {
        self.state.answers.get()
    }

    /// Returns the body of a whole stream.
    pub fn body() -> String {
        events(1, EVENTS)
    }
}

fn events(first: u64, last: u64) -> String {
    let events = (first..=last).map(|i| format!("id: {i}\ndata: {i}\n\n"));
    events.collect()
}

async fn answer(mut stream: TcpStream, state: Rc<State>) {
    let head = read_request(&mut stream).await;
    let id = header(&head, "request-id").unwrap_or_default();
    let last_event = header(&head, "last-event-id").and_then(|v| v.parse().ok());
    let first = last_event.unwrap_or(0) + 1;
    let begin = events(first, EVENTS_BEFORE_PAUSE);
    let end = events(first.max(EVENTS_BEFORE_PAUSE + 1), EVENTS);
    let answer_head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: paced\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n",
        begin.len() + end.len()
    );
    // The caller may have closed the connection.
    let _ = stream.write_all((answer_head + &begin).as_bytes()).await;
    state.answers.set(state.answers.get() + 1);
    let mut released = state.released.subscribe();
    // Fails only when the upstream is dropped.
    let _ = released.wait_for(|is_released| *is_released).await;
    let _ = stream.write_all(end.as_bytes()).await;
}
