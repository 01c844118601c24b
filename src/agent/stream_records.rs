//! Keeps the records of where streams began, for entries.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::warn;
use tokio::net::UdpSocket;

use crate::agent::state::AgentState;
use crate::datagram::DatagramKind;
use crate::datagram::OpenError;
use crate::stream_origins::StreamOrigins;
use crate::wire::streams::StreamMessage;
use crate::wire::streams::decode;
use crate::wire::streams::encode;

/// The size of the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// The pause after a failed call of the socket. An entry's host may have rejected a reply.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The pause before the port is bound again while another process holds it.
const BIND_RETRY: Duration = Duration::from_secs(1);

/// The records that an agent keeps. It begins no streams itself.
pub struct RecordKeeper {
    origins: RefCell<StreamOrigins>,
    state: Rc<AgentState>,
}

impl RecordKeeper {
    /// Creates a keeper without records.
    pub fn new(state: Rc<AgentState>) -> Self {
        Self {
            origins: RefCell::new(StreamOrigins::new()),
            state,
        }
    }

    /// Serves entries until the task is aborted. An agent whose UDP port is taken by another
    /// process does its other work meanwhile.
    pub async fn run(self) {
        let socket = self.bind().await;
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = socket.recv_from(&mut buf).await else {
                actix_rt::time::sleep(ERROR_PAUSE).await;
                continue;
            };
            if let Some(reply) = self.receive(&buf[..length], sender) {
                // The entry asks again if the reply is lost.
                let _ = socket.send_to(&reply, sender).await;
            }
        }
    }

    /// Binds a UDP socket to the address at which entries reach the agent.
    async fn bind(&self) -> UdpSocket {
        let address = self.state.config.listen;
        let mut has_failed = false;
        loop {
            match UdpSocket::bind(address).await {
                Ok(socket) => return socket,
                Err(e) => {
                    if !std::mem::replace(&mut has_failed, true) {
                        warn!(self.state.log, "cannot receive records of streams";
                            "address" => %address,
                            "error" => %e);
                    }
                    actix_rt::time::sleep(BIND_RETRY).await;
                }
            }
        }
    }

    /// Handles a datagram and returns the reply to send, if any.
    fn receive(&self, datagram: &[u8], sender: SocketAddr) -> Option<Vec<u8>> {
        let keys = &self.state.config.site_key;
        let message = match DatagramKind::open(keys, datagram) {
            Ok((DatagramKind::Streams, message)) => message,
            Ok(_) | Err(OpenError::NoKey) => return None,
            Err(e) => {
                warn!(self.state.log, "rejected a datagram"; "sender" => %sender, "error" => %e);
                return None;
            }
        };
        let now = self.state.now();
        match decode(message) {
            Ok(StreamMessage::Began(records)) => {
                let mut origins = self.origins.borrow_mut();
                for record in &records {
                    origins.learn(now, record);
                }
                None
            }
            Ok(StreamMessage::Query(query)) => {
                let reply = self.origins.borrow().answer(now, &query);
                let reply = encode(&StreamMessage::Reply(reply));
                Some(DatagramKind::Streams.sign(&keys.get()?, &reply))
            }
            Ok(StreamMessage::Reply(_)) => None,
            Err(e) => {
                warn!(self.state.log, "could not decode a message on streams";
                    "sender" => %sender,
                    "error" => %e);
                None
            }
        }
    }
}
