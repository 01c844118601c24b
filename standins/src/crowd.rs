//! Crowds of clients that do not keep to the usual exchange of requests and answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// The receive buffer of each client, in bytes. Answers that are not read fill it soon.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;

/// The largest write of a client, in bytes.
const WRITE_BYTES: usize = 16 << 10;

/// A crowd has settled when none of its bytes has moved for this long.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// The longest time for which a crowd is watched.
const MAX_PLAY_TIME: Duration = Duration::from_secs(45);

/// One step of a client.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the bytes once.
    Send(Arc<[u8]>),
    /// Sends the bytes again and again, up to a total in bytes.
    Repeat(Arc<[u8]>, usize),
    /// Sends the bytes one by one.
    SendBytewise(Arc<[u8]>),
    /// Reads this many bytes, one by one.
    ReadBytewise(usize),
    /// Reads until nothing has come for a moment.
    ReadAvailable,
    /// Ends the requests, and not the answers.
    HalfClose,
    /// Resets the connection and opens a new one.
    Reconnect,
}

impl Step {
    /// Sends `text` once.
    pub fn send(text: &str) -> Self {
        Self::Send(text.as_bytes().into())
    }

    /// Sends `text` again and again, up to `bytes` bytes in all.
    pub fn repeat(text: &str, bytes: usize) -> Self {
        // Copies of short texts are joined, so that they are not sent one by one.
        let copies = WRITE_BYTES.div_ceil(text.len());
        Self::Repeat(text.repeat(copies).as_bytes().into(), bytes)
    }
}

/// Clients that all take the same steps and then keep their connections open, until the
/// crowd is dropped.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
    progress: Rc<Progress>,
}

/// What the clients of a crowd have done.
#[derive(Default)]
struct Progress {
    /// The bytes that were sent and read, and the steps that were taken.
    moved: Cell<u64>,
    /// The clients that have taken their last step.
    finished: Cell<usize>,
}

impl Progress {
    fn add(&self, moved: usize) {
        self.moved.set(self.moved.get() + moved as u64 + 1);
    }
}

impl Crowd {
    /// Starts `count` clients of the server at `address`.
    pub fn start(address: SocketAddr, count: usize, steps: &[Step]) -> Self {
        let progress = Rc::new(Progress::default());
        let clients = (0..count).map(|_| {
            let (progress, steps) = (Rc::clone(&progress), steps.to_vec());
            actix_rt::spawn(async move {
                let stream = play(address, &steps, &progress).await;
                progress.finished.set(progress.finished.get() + 1);
                // Keeps the connection open.
                std::future::pending::<()>().await;
                drop(stream);
            })
        });
        Self {
            clients: clients.collect(),
            progress,
        }
    }

    /// Waits until all clients have taken their steps or none makes progress, and calls
    /// `watch` meanwhile. Returns early if that returns `false`.
    pub async fn settle<F>(&self, mut watch: F)
    where
        F: FnMut() -> bool,
    {
        let tick = Duration::from_millis(20);
        let (mut quiet, mut played) = (Duration::ZERO, Duration::ZERO);
        let mut last = 0;
        while quiet < QUIET_TIME && played < MAX_PLAY_TIME && watch() {
            actix_rt::time::sleep(tick).await;
            played += tick;
            quiet += tick;
            let moved = self.progress.moved.get();
            if moved != last {
                (last, quiet) = (moved, Duration::ZERO);
            }
            if self.progress.finished.get() == self.clients.len() {
                quiet += tick;
            }
        }
    }

    /// Returns the number of bytes and steps so far.
    pub fn progress(&self) -> u64 {
        self.progress.moved.get()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

/// Takes the steps of one client, as far as the server lets it. Returns its connection.
async fn play(address: SocketAddr, steps: &[Step], progress: &Progress) -> Option<TcpStream> {
    let mut stream = connect(address).await.ok()?;
    for step in steps {
        progress.add(0);
        if take_step(&mut stream, address, step, progress)
            .await
            .is_err()
        {
            break;
        }
    }
    Some(stream)
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn take_step(
    stream: &mut TcpStream,
    address: SocketAddr,
    step: &Step,
    progress: &Progress,
) -> std::io::Result<()> {
    match step {
        Step::Send(bytes) => send(stream, bytes, bytes.len(), progress).await,
        Step::Repeat(bytes, total) => send(stream, bytes, *total, progress).await,
        Step::SendBytewise(bytes) => {
            for byte in bytes.iter() {
                stream.write_all(&[*byte]).await?;
                progress.add(1);
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(())
        }
        Step::ReadBytewise(count) => {
            for _ in 0..*count {
                stream.read_u8().await?;
                progress.add(1);
            }
            Ok(())
        }
        Step::ReadAvailable => {
            let mut buf = [0; 4 << 10];
            let pause = Duration::from_millis(500);
            while let Ok(read) = actix_rt::time::timeout(pause, stream.read(&mut buf)).await {
                if read? == 0 {
                    break;
                }
                progress.add(1);
            }
            Ok(())
        }
        Step::HalfClose => stream.shutdown().await,
        Step::Reconnect => {
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            *stream = connect(address).await?;
            Ok(())
        }
    }
}

/// Sends `bytes` again and again, up to a total.
async fn send(
    stream: &mut TcpStream,
    bytes: &[u8],
    total: usize,
    progress: &Progress,
) -> std::io::Result<()> {
    let mut sent = 0;
    while sent < total {
        let at = sent % bytes.len();
        let end = bytes.len().min(at + WRITE_BYTES).min(at + total - sent);
        let written = stream.write(&bytes[at..end]).await?;
        sent += written;
        progress.add(written);
    }
    Ok(())
}
