//! The way to the upstream beside the agent.

use std::net::SocketAddr;

use actix_http::Method;
use awc::Client;
use awc::ClientResponse;
use thiserror::Error;

use crate::headers::end_to_end;
use crate::http_client::new_client;
use crate::http_client::surely_not_sent;
use crate::wire::Call;
use crate::wire::Header;

/// An answer whose head has arrived.
pub type Response = ClientResponse;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallError {
    /// The upstream surely did not receive the call.
    #[error("the upstream cannot be reached")]
    NotDispatched,
    /// The call may have been run.
    #[error("the upstream gave no answer")]
    Failed,
}

/// Calls one upstream, each call at most once.
pub struct UpstreamClient {
    pooled: Client,
    single: Client,
}

impl UpstreamClient {
    /// A client without open connections.
    pub fn new() -> Self {
        Self {
            pooled: new_client(),
            single: new_client(),
        }
    }

    /// Sends `call` to the upstream at `address` and waits for the head of
    /// the answer. Dropping the answer closes its connection, which cancels
    /// the work.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
        idempotent: bool,
    ) -> Result<Response, CallError> {
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|_| CallError::NotDispatched)?;
        let url = format!("http://{address}{}", call.path);
        // A pooled connection may be closed by the upstream just as the call
        // is sent, which would leave the fate of the call unknown.
        let mut req = match idempotent {
            true => self.pooled.request(method, url),
            false => self.single.request(method, url).force_close(),
        };
        for header in &call.headers {
            req = req.append_header((header.name.as_str(), header.value.as_ref()));
        }
        let sent = req.no_decompress().send_body(call.body.clone()).await;
        sent.map_err(|e| match surely_not_sent(&e) {
            true => CallError::NotDispatched,
            false => CallError::Failed,
        })
    }
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

/// The headers of an answer that go back to the caller.
pub fn answer_headers(response: &Response) -> Vec<Header> {
    end_to_end(response.headers(), &[])
}
