//! An upstream that writes bytes without end, on the thread of its test.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::raw_upstream::header;
use crate::raw_upstream::read_request;

/// The number of bytes that are written at once.
const BURST_BYTES: usize = 32 << 10;

/// The pause between two bursts, which leaves the processor to other upstreams on the
/// thread.
const BURST_PAUSE: Duration = Duration::from_millis(1);

/// A running upstream that answers without end.
pub struct EndlessUpstream {
    /// The address on which it listens.
    pub address: SocketAddr,
    counts: watch::Receiver<ConnectionCounts>,
}

/// The numbers of connections with a POST request that were opened and closed. Agents
/// read reports over others, which they keep open.
#[derive(Clone, Copy, Debug, Default)]
struct ConnectionCounts {
    opened: u64,
    closed: u64,
}

impl EndlessUpstream {
    /// Starts an upstream that answers each request with `begin`, and then repeats
    /// `repeated` until its peer closes the connection. In `begin`, `{id}` stands for the
    /// `request-id` of the request.
    pub async fn start(begin: &str, repeated: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("it has an address");
        let counts = watch::Sender::new(ConnectionCounts::default());
        let receiver = counts.subscribe();
        let begin = begin.to_owned();
        let burst = repeated.repeat(BURST_BYTES.div_ceil(repeated.len()));
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (begin, burst, counts) = (begin.clone(), burst.clone(), counts.clone());
                actix_rt::spawn(async move {
                    answer(stream, &begin, &burst, &counts).await;
                });
            }
        });
        Self {
            address,
            counts: receiver,
        }
    }

    /// Returns the number of POST requests that arrived.
    pub fn opened(&self) -> u64 {
        self.counts.borrow().opened
    }

    /// Waits until the peers have closed all connections with a POST request.
    pub async fn all_closed(&self) {
        let mut counts = self.counts.clone();
        // Fails only when the upstream has ended.
        let _ = counts.wait_for(|c| c.opened == c.closed).await;
    }
}

async fn answer(
    mut stream: TcpStream,
    begin: &str,
    burst: &str,
    counts: &watch::Sender<ConnectionCounts>,
) {
    let head = read_request(&mut stream).await;
    let posts = u64::from(head.starts_with("post "));
    counts.send_modify(|c| c.opened += posts);
    let id = header(&head, "request-id").unwrap_or_default();
    let begin = begin.replace("{id}", id);
    let mut written = stream.write_all(begin.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(burst.as_bytes()).await;
        actix_rt::time::sleep(BURST_PAUSE).await;
    }
    counts.send_modify(|c| c.closed += posts);
}
