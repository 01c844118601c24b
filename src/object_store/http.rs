//! HTTP client of the object API.
//!
//! `GET /objects/NAME` returns the value and its version as `ETag`; `PUT` is sent
//! with `If-Match` or `If-None-Match: *`; a watch is a `GET` with `If-None-Match` and
//! `Prefer: wait=SECONDS`, which returns 304 if the object has not changed within
//! that time.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use awc::Client;
use awc::ClientRequest;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::sync::watch;

use crate::http_client::new_client;
use crate::http_client::read_body;
use crate::http_client::was_not_sent;
use crate::name::Name;
use crate::object_store::Expected;
use crate::object_store::MAX_OBJECT_BYTES;
use crate::object_store::Object;
use crate::object_store::ObjectStore;
use crate::object_store::StoreError;
use crate::object_store::Timeline;
use crate::object_store::TimelineReceiver;
use crate::object_store::Version;
use crate::reply_timeout::Transfers;

/// Timeout of a reply, in addition to the time that a watch waits. It counts from the last
/// bytes received.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the object API at one address. The API names no timeline.
pub struct HttpObjectStore {
    base: Name,
    client: Client,
    /// The replies that are being received.
    transfers: Transfers,
    timeline: watch::Sender<Option<Timeline>>,
}

struct Reply {
    status: StatusCode,
    version: Option<Version>,
    value: Bytes,
}

impl HttpObjectStore {
    /// Creates a client with the base URL `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        Self {
            base: Name::new(base.trim_end_matches('/')),
            client: new_client(),
            transfers: Transfers::new(),
            timeline: watch::Sender::default(),
        }
    }

    fn url(&self, name: &Name) -> String {
        format!("{}/objects/{name}", self.base)
    }

    async fn send(
        &self,
        req: ClientRequest,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, StoreError> {
        let transfer = self.transfers.start(wait, REPLY_TIMEOUT);
        let replied = async {
            let mut res = req.send_body(body).await.map_err(|e| match e {
                e if was_not_sent(&e) => StoreError::Unreachable,
                _ => StoreError::OutcomeUnknown,
            })?;
            let etag = res.headers().get(header::ETAG);
            let version = etag.and_then(|v| v.to_str().ok()).map(Version::new);
            let body = read_body(&mut res, &transfer, 2 * MAX_OBJECT_BYTES);
            let value = body.await.map_err(|_| StoreError::OutcomeUnknown)?;
            Ok(Reply {
                status: res.status(),
                version,
                value,
            })
        };
        let timed = transfer.run(replied).await;
        timed.unwrap_or(Err(StoreError::OutcomeUnknown))
    }

    async fn read(&self, req: ClientRequest, wait: Duration) -> Result<Option<Object>, StoreError> {
        let reply = self.send(req, Bytes::new(), wait).await?;
        match reply.status {
            StatusCode::OK => {
                let version = reply.version.ok_or(StoreError::OutcomeUnknown)?;
                let value = reply.value;
                Ok(Some(Object { version, value }))
            }
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(status_error(status)),
        }
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(&self, name: Name) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        let req = self.client.get(self.url(&name));
        self.read(req, Duration::ZERO).boxed_local()
    }

    fn put(
        &self,
        name: Name,
        value: Bytes,
        expected: Expected,
    ) -> LocalBoxFuture<'_, Result<Version, StoreError>> {
        let req = self.client.put(self.url(&name));
        let req = match &expected {
            Expected::Absent => req.insert_header((header::IF_NONE_MATCH, "*")),
            Expected::Version(version) => req.insert_header((header::IF_MATCH, version.as_str())),
        };
        async move {
            if value.len() > MAX_OBJECT_BYTES {
                return Err(StoreError::TooLarge);
            }
            let reply = self.send(req, value, Duration::ZERO).await?;
            match reply.status {
                StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => {
                    reply.version.ok_or(StoreError::OutcomeUnknown)
                }
                StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict),
                status => Err(status_error(status)),
            }
        }
        .boxed_local()
    }

    fn watch(
        &self,
        name: Name,
        known: Option<Version>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>> {
        let seconds = wait.as_secs().max(1);
        let mut req = self.client.get(self.url(&name));
        req = req.insert_header(("prefer", format!("wait={seconds}")));
        if let Some(known) = known {
            req = req.insert_header((header::IF_NONE_MATCH, known.as_str()));
        }
        async move { self.read(req, wait).await }.boxed_local()
    }

    fn timelines(&self) -> TimelineReceiver {
        self.timeline.subscribe()
    }
}

/// Converts the status of a failed call to an error. A call refused with a client
/// error or 503 has no effect; after any other status a write may have taken
/// effect.
fn status_error(status: StatusCode) -> StoreError {
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        return StoreError::Refused(status.as_u16());
    }
    StoreError::OutcomeUnknown
}
