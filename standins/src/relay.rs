//! A relay in front of a process, by which connections are cut or frozen.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::oneshot;
use tokio::sync::watch;

const BUFFER_BYTES: usize = 16 << 10;

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct State {
    /// Connections of an earlier generation are cut.
    generation: u64,
    /// Bytes stay where they are; the connections seem half-open.
    frozen: bool,
    /// New connections are closed at once.
    refusing: bool,
}

/// Passes connections on to one address.
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<State>,
    passed: Arc<AtomicU64>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay on an ephemeral port of the loopback address.
    pub fn start(target: SocketAddr) -> Self {
        let state = watch::Sender::new(State::default());
        let (started, address) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let seen = state.subscribe();
        let passed = Arc::<AtomicU64>::default();
        let counted = Arc::clone(&passed);
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
                let listener = TcpListener::bind(any).await;
                let listener = listener.expect("a loopback port can be bound");
                let address = listener.local_addr().expect("it has an address");
                started.send(address).expect("the starter waits");
                tokio::select! {
                    () = accept(listener, target, seen, counted) => {}
                    _ = stopped => {}
                }
            });
        });
        Self {
            address: address.recv().expect("the relay starts"),
            state,
            passed,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bytes passed on so far, in both directions.
    pub fn passed(&self) -> u64 {
        self.passed.load(Ordering::Relaxed)
    }

    /// Cuts all open connections; new ones are passed on.
    pub fn cut(&self) {
        self.state.send_modify(|s| s.generation += 1);
    }

    /// Cuts all connections and refuses new ones, or stops doing so.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.send_modify(|s| {
            s.generation += 1;
            s.refusing = refusing;
        });
    }

    /// Holds all bytes back, or lets them go.
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
    counted: Arc<AtomicU64>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        if state.borrow().refusing {
            continue;
        }
        let state = state.clone();
        let counted = Arc::clone(&counted);
        actix_rt::spawn(async move {
            if let Ok(process) = TcpStream::connect(target).await {
                pass(caller, process, state, &counted).await;
            }
        });
    }
}

async fn pass(
    caller: TcpStream,
    process: TcpStream,
    mut state: watch::Receiver<State>,
    counted: &AtomicU64,
) {
    let _ = caller.set_nodelay(true);
    let _ = process.set_nodelay(true);
    let generation = state.borrow().generation;
    let (caller_read, caller_write) = caller.into_split();
    let (process_read, process_write) = process.into_split();
    let forth = copy(caller_read, process_write, state.clone(), counted);
    let back = copy(process_read, caller_write, state.clone(), counted);
    tokio::select! {
        () = forth => {}
        () = back => {}
        _ = state.wait_for(|s| s.generation != generation) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    counted: &AtomicU64,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buf).await else {
            return;
        };
        if state.wait_for(|s| !s.frozen).await.is_err() {
            return;
        }
        counted.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
