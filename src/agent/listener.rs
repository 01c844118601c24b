//! Accepts connections from entries and serves the agent's protocol on them.

use std::cell::Cell;
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
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

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

/// Binds to the agent's address and spawns a task that serves entries.
pub async fn listen(state: Rc<AgentState>) -> io::Result<()> {
    let listener = TcpListener::bind(state.config.listen).await?;
    actix_rt::spawn(async move {
        let mut sessions = 0;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    sessions += 1;
                    let session = SessionId(sessions);
                    actix_rt::spawn(serve(Rc::clone(&state), session, stream));
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    });
    Ok(())
}

async fn serve(state: Rc<AgentState>, session: SessionId, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let authenticated = Rc::new(Cell::new(false));
    let gate = Gate::new(Rc::clone(&state), session, Rc::clone(&authenticated));
    let gate: gate::Client = capnp_rpc::new_client(gate);
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let rpc = RpcSystem::new(Box::new(network), Some(gate.client));
    let timeout = async {
        actix_rt::time::sleep(HANDSHAKE_TIMEOUT).await;
        if authenticated.get() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
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
