//! The platform's lagging list of live and leaving hosts.

use std::time::Duration;

use awc::Client;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::http_client::new_client;
use crate::name::Name;

/// The time for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// The largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Whether a host stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is in service.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// A host on the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Host {
    /// The name of the process's or upstream's host.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it stays.
    pub state: HostState,
}

/// Why the list could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HostListError {
    /// No whole reply came.
    #[error("the host list cannot be reached")]
    Unreachable,
    /// The reply is not a host list.
    #[error("the reply is not a host list")]
    Malformed,
}

/// The host list.
pub trait HostList {
    /// Reads the list as the platform sees it now.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>>;
}

/// A fixed list.
impl HostList for Vec<Host> {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>> {
        async move { Ok(self.clone()) }.boxed_local()
    }
}

/// The host list over HTTP: `GET /hosts` answers with a JSON array.
pub struct HttpHostList {
    url: Name,
    client: Client,
}

impl HttpHostList {
    /// The host list under `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        Self {
            url: Name::new(&format!("{}/hosts", base.trim_end_matches('/'))),
            client: new_client(),
        }
    }

    async fn read(&self) -> Result<Vec<Host>, HostListError> {
        let sent = self.client.get(self.url.as_str()).send().await;
        let mut res = sent.map_err(|_| HostListError::Unreachable)?;
        if !res.status().is_success() {
            return Err(HostListError::Unreachable);
        }
        let body = res.body().limit(MAX_LIST_BYTES).await;
        let body = body.map_err(|_| HostListError::Unreachable)?;
        serde_json::from_slice(&body).map_err(|_| HostListError::Malformed)
    }
}

impl HostList for HttpHostList {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Host>, HostListError>> {
        let timed = actix_rt::time::timeout(REPLY_TIMEOUT, self.read());
        timed
            .map(|r| r.unwrap_or(Err(HostListError::Unreachable)))
            .boxed_local()
    }
}
