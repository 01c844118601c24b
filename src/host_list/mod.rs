//! The platform's list of live and leaving hosts, which lags behind their
//! actual state.

use std::time::Duration;

use awc::Client;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::http_client::new_client;
use crate::http_client::read_body;
use crate::name::Name;
use crate::reply_timeout::Transfer;
use crate::reply_timeout::Transfers;

/// The time within which the platform has to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest accepted list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Whether a host stays in service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// A host on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// The name of the host, which is the name of its process or upstream.
    pub name: Name,
    /// The availability zone of the host.
    pub zone: Name,
    /// Whether the host stays in service.
    pub state: HostState,
}

/// Reasons why the list could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HostListError {
    /// The platform did not answer with a complete list in time.
    #[error("the host list cannot be reached")]
    Unreachable,
    /// The reply is not a host list.
    #[error("the reply is not a host list")]
    Malformed,
}

/// A source of the host list.
pub trait HostList {
    /// Reads the current list.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>>;
}

/// A fixed list.
impl HostList for Vec<Host> {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>> {
        async move { Ok(self.clone()) }.boxed_local()
    }
}

/// Reads the host list over HTTP: `GET /hosts` returns a JSON array.
pub struct HttpHostList {
    url: Name,
    client: Client,
    /// The reply that is being received.
    transfers: Transfers,
}

impl HttpHostList {
    /// Creates a reader of the list under the URL `base`, such as
    /// `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        Self {
            url: Name::new(&format!("{}/hosts", base.trim_end_matches('/'))),
            client: new_client(),
            transfers: Transfers::new(),
        }
    }

    async fn read(&self, transfer: &Transfer<'_>) -> Result<Vec<Host>, HostListError> {
        let result = self.client.get(self.url.as_str()).send().await;
        let mut res = result.map_err(|_| HostListError::Unreachable)?;
        if !res.status().is_success() {
            return Err(HostListError::Unreachable);
        }
        let body = read_body(&mut res, transfer, MAX_LIST_BYTES).await;
        let body = body.map_err(|_| HostListError::Unreachable)?;
        serde_json::from_slice(&body).map_err(|_| HostListError::Malformed)
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>> {
        async move {
            let transfer = self.transfers.start(Duration::ZERO, REPLY_TIMEOUT);
            let read = transfer.run(self.read(&transfer)).await;
            read.unwrap_or(Err(HostListError::Unreachable))
        }
        .boxed_local()
    }
}
