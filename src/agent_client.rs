//! Opens connections to agents.

use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::agent::reader_options;
use crate::almondramp_capnp::gate;

/// The time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an agent before the handshake.
pub struct AgentConnection {
    /// The agent's bootstrap interface.
    pub gate: gate::Client,
    /// The future that transports the messages. It has to be polled, and
    /// completes when the connection ends.
    pub rpc: RpcSystem<Side>,
}

/// Connects to an agent. Returns `None` if it can't be reached in time.
pub async fn connect(address: SocketAddr) -> Option<AgentConnection> {
    let connecting = TcpStream::connect(address);
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let gate = rpc.bootstrap(Side::Server);
    Some(AgentConnection { gate, rpc })
}
