//! Accepts connections from entries and serves the agent's protocol on them.
//!
//! Of peers that have not proved that they hold the site key, only a few are served at a time,
//! and only a little is read.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use slog::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::agent::handshake_reader::HandshakeReader;
use crate::agent::rpc::Gate;
use crate::agent::state::AgentState;
use crate::agent::state::SessionId;
use crate::almondramp_capnp::gate;

/// The time a peer has to prove that it holds the site key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause after a failed `accept`, for example when the process is out of
/// file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The largest message accepted from a peer, in words of eight bytes.
pub const MAX_MESSAGE_WORDS: usize = 4 << 20;

/// The maximum number of connections whose peers have not authenticated themselves. For a
/// further one, the oldest is closed.
const MAX_STRANGERS: usize = 64;

/// Connections whose peers have not authenticated themselves, the oldest first.
#[derive(Default)]
struct Strangers(VecDeque<Stranger>);

struct Stranger {
    authenticated: Rc<Cell<bool>>,
    /// Dropped without a message when the peer has authenticated itself.
    displaced: oneshot::Sender<()>,
}

impl Strangers {
    /// Adds a connection, for which the oldest one may be closed. Returns the flag that its
    /// handshake sets, and what tells that it is closed itself.
    fn add(&mut self) -> (Rc<Cell<bool>>, oneshot::Receiver<()>) {
        let is_stranger = |s: &Stranger| !s.authenticated.get() && !s.displaced.is_closed();
        self.0.retain(is_stranger);
        if self.0.len() >= MAX_STRANGERS
            && let Some(oldest) = self.0.pop_front()
        {
            // Fails if the connection has ended meanwhile.
            let _ = oldest.displaced.send(());
        }
        let authenticated = Rc::new(Cell::new(false));
        let (tx, rx) = oneshot::channel();
        self.0.push_back(Stranger {
            authenticated: Rc::clone(&authenticated),
            displaced: tx,
        });
        (authenticated, rx)
    }
}

/// Binds to the agent's address and spawns a task that serves entries.
pub async fn listen(state: Rc<AgentState>) -> io::Result<()> {
    let listener = TcpListener::bind(state.config.listen).await?;
    actix_rt::spawn(async move {
        let mut sessions = 0;
        let mut strangers = Strangers::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    sessions += 1;
                    let session = SessionId(sessions);
                    let (authenticated, displaced) = strangers.add();
                    let state = Rc::clone(&state);
                    actix_rt::spawn(serve(state, session, stream, authenticated, displaced));
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    });
    Ok(())
}

/// Serves a connection until it ends, or until its peer is `displaced` before it has
/// authenticated itself.
async fn serve(
    state: Rc<AgentState>,
    session: SessionId,
    stream: TcpStream,
    authenticated: Rc<Cell<bool>>,
    displaced: oneshot::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    let gate = Gate::new(Rc::clone(&state), session, Rc::clone(&authenticated));
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let (reader, writer) = stream.into_split();
    let reader = HandshakeReader::new(reader, Rc::clone(&authenticated));
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let rpc = RpcSystem::new(Box::new(network), Some(gate.client));
    let timeout = async {
        actix_rt::time::sleep(HANDSHAKE_TIMEOUT).await;
        if authenticated.get() {
            std::future::pending::<()>().await;
        }
    };
    let displaced = async {
        // The sender is also dropped when the peer has authenticated itself.
        if displaced.await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = displaced => debug!(state.log, "connection closed: too many peers have not authenticated"),
        ended = rpc => debug!(state.log, "connection from a peer ended"; "clean" => ended.is_ok()),
        () = timeout => debug!(state.log, "connection closed: the peer did not authenticate in time"),
    }
    state.end_session(session);
}

/// Returns the limits on messages read from a peer.
pub fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MAX_MESSAGE_WORDS),
        ..ReaderOptions::new()
    }
}
