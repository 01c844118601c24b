//! A TCP relay to one process that can close, refuse, freeze, silence or delay
//! connections, or pass their bytes through one slow link.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct State {
    /// Connections opened in an earlier generation are closed.
    generation: u64,
    /// Bytes are read but not forwarded, as on a half-open connection.
    frozen: bool,
    /// Connections opened in an earlier epoch lose all bytes.
    silent_epoch: u64,
    /// All connections lose all bytes.
    cut: bool,
    /// The time by which each chunk is delayed.
    delay: Duration,
    /// New connections are closed immediately.
    refusing: bool,
    /// The rate at which all connections together pass bytes from the process to its
    /// callers; `None` for no limit.
    bytes_per_second: Option<u64>,
}

/// The link that all connections share: it passes one chunk after the other, also those of
/// connections that were closed after the chunk had been sent.
#[derive(Debug)]
struct Link {
    free_at: Mutex<Instant>,
}

impl Link {
    fn new() -> Self {
        Self {
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns when `count` bytes that are sent now have passed.
    fn passed_at(&self, count: usize, bytes_per_second: u64) -> Instant {
        let mut free_at = self.free_at.lock().expect("no holder has panicked");
        let time = Duration::from_secs_f64(count as f64 / bytes_per_second as f64);
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    }
}

/// Forwards connections to one address.
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<State>,
    forwarded: Arc<AtomicU64>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay on an ephemeral port of the loopback address.
    pub fn start(target: SocketAddr) -> Self {
        let state = watch::Sender::new(State::default());
        let (started, address) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let state_rx = state.subscribe();
        let forwarded = Arc::<AtomicU64>::default();
        let forwarded_total = Arc::clone(&forwarded);
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let listener = TcpListener::bind(any_port).await;
                let listener = listener.expect("a loopback port can be bound");
                let address = listener.local_addr().expect("it has an address");
                started.send(address).expect("the starter waits");
                tokio::select! {
                    () = accept(listener, target, state_rx, forwarded_total) => {}
                    _ = stopped => {}
                }
            });
        });
        Self {
            address: address.recv().expect("the relay starts"),
            state,
            forwarded,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Returns the address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded so far in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Closes all open connections; new ones are still forwarded.
    pub fn close_connections(&self) {
        self.state.send_modify(|s| s.generation += 1);
    }

    /// Closes all connections and sets whether new ones are refused.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|s| {
            s.generation += 1;
            s.refusing = refusing;
        });
    }

    /// Drops all further bytes of the open connections, which stay open. New
    /// connections are forwarded.
    pub fn silence_connections(&self) {
        self.state.send_modify(|s| s.silent_epoch += 1);
    }

    /// Sets whether all bytes are dropped. Connections that were open in the meantime
    /// stay silent.
    pub fn set_cut(&self, cut: bool) {
        self.state.send_modify(|s| {
            s.silent_epoch += 1;
            s.cut = cut;
        });
    }

    /// Sets the time by which each chunk of bytes is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|s| s.delay = delay);
    }

    /// Limits the rate at which all connections together pass bytes from the process to
    /// its callers.
    pub fn set_bytes_per_second(&self, bytes_per_second: u64) {
        self.state
            .send_modify(|s| s.bytes_per_second = Some(bytes_per_second));
    }

    /// Sets whether forwarding is suspended.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.send_modify(|s| s.frozen = frozen);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<State>,
    forwarded: Arc<AtomicU64>,
) {
    let link = Rc::new(Link::new());
    while let Ok((caller, _)) = listener.accept().await {
        if state.borrow().refusing {
            continue;
        }
        let state = state.clone();
        let link = Rc::clone(&link);
        let forwarded = Arc::clone(&forwarded);
        actix_rt::spawn(async move {
            if let Ok(process) = TcpStream::connect(target).await {
                forward(caller, process, state, &forwarded, &link).await;
            }
        });
    }
}

async fn forward(
    caller: TcpStream,
    process: TcpStream,
    mut state: watch::Receiver<State>,
    forwarded: &AtomicU64,
    link: &Link,
) {
    let _ = caller.set_nodelay(true);
    let _ = process.set_nodelay(true);
    let generation = state.borrow().generation;
    let (caller_read, caller_write) = caller.into_split();
    let (process_read, process_write) = process.into_split();
    let to_process = copy(caller_read, process_write, state.clone(), forwarded, None);
    let to_caller = copy(
        process_read,
        caller_write,
        state.clone(),
        forwarded,
        Some(link),
    );
    tokio::select! {
        () = to_process => {}
        () = to_caller => {}
        _ = state.wait_for(|s| s.generation != generation) => {}
    }
}

/// A chunk on its way over the link, and when it has passed.
type Passing = (Vec<u8>, Option<Instant>);

/// Number of chunks of one connection that can be on the link at once.
const CHUNKS_ON_LINK: usize = 64;

async fn copy(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: watch::Receiver<State>,
    forwarded: &AtomicU64,
    link: Option<&Link>,
) {
    let (tx, rx) = tokio::sync::mpsc::channel(CHUNKS_ON_LINK);
    tokio::join!(
        send_chunks(from, tx, state.clone(), forwarded, link),
        deliver_chunks(to, rx),
    );
}

async fn send_chunks(
    mut from: OwnedReadHalf,
    tx: Sender<Passing>,
    mut state: watch::Receiver<State>,
    forwarded: &AtomicU64,
    link: Option<&Link>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let epoch = state.borrow().silent_epoch;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = tx.closed() => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        if state.wait_for(|s| !s.frozen).await.is_err() {
            return;
        }
        let current = *state.borrow();
        if current.cut || current.silent_epoch != epoch {
            continue;
        }
        if !current.delay.is_zero() {
            tokio::time::sleep(current.delay).await;
        }
        forwarded.fetch_add(count as u64, Ordering::Relaxed);
        let Ok(permit) = tx.reserve().await else {
            return;
        };
        let passed_at = match (link, current.bytes_per_second) {
            (Some(link), Some(rate)) => Some(link.passed_at(count, rate)),
            _ => None,
        };
        permit.send((buf[..count].to_vec(), passed_at));
    }
}

async fn deliver_chunks(mut to: OwnedWriteHalf, mut rx: Receiver<Passing>) {
    while let Some((chunk, passed_at)) = rx.recv().await {
        if let Some(passed_at) = passed_at {
            tokio::time::sleep_until(passed_at.into()).await;
        }
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
}
