//! HTTP towards callers.

use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::Request;
use actix_http::RequestHead;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use slog::info;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;

use crate::burn::BurnKey;
use crate::clock::Timestamp;
use crate::dispatch::Event;
use crate::entry::error::CallerError;
use crate::entry::keyed;
use crate::entry::keyed::Keyed;
use crate::entry::keyed::key_of;
use crate::entry::keyed::replay;
use crate::entry::request::Admission;
use crate::entry::request::Job;
use crate::entry::serve::AcceptedRequest;
use crate::entry::serve::Reply;
use crate::entry::serve::Serving;
use crate::entry::state::EntryState;
use crate::headers::Header;
use crate::health::liveness;
use crate::health::readiness;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;

/// Parts of an answer that wait for a slow caller.
const REPLIES_AHEAD: usize = 4;

/// The time in which the parts of an answer that have come are written to its
/// caller before the connection is closed: several turns of a busy process.
const WRITTEN_WITHIN: Duration = Duration::from_millis(20);

/// The time after a start in which callers wait for the first settings: a
/// platform that answers tells them within a fraction of it.
const FIRST_SETTINGS: Duration = Duration::from_secs(1);

/// When an organisation that has used up its limit may come back.
const LIMITED_RETRY: Duration = Duration::from_secs(1);

/// When a caller may come back if the entry is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// An answer broke off after its head was sent.
#[derive(Clone, Copy, Debug, Error)]
#[error("the answer broke off")]
struct Truncated;

/// A request that the entry holds; it is released when dropped, unless it
/// was handed on.
struct Held {
    state: Rc<EntryState>,
    request: Option<RequestId>,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.state.release(request);
        }
    }
}

/// Answers one request of a caller.
pub async fn handle(state: Rc<EntryState>, mut req: Request) -> Response<BoxBody> {
    if state.dialect.is_health_path(req.path()) {
        return match req.path() {
            "/readyz" => readiness(state.is_ready()),
            _ => liveness(),
        };
    }
    match serve(&state, &mut req).await {
        Ok(response) => response,
        Err(e) => {
            let id = state.dialect.request_id(req.head());
            let id = id.as_deref().unwrap_or_default();
            info!(state.log, "request refused";
                "request" => id,
                "path" => req.path(),
                "organisation" => e.admission.as_ref().map(|a| a.organisation.to_string()),
                "code" => e.error.code(),
                "revision" => state.active_settings.revision().0,
                "outcome" => e.error.outcome().name());
            count_refused(&state, &e);
            let mut response = state.dialect.error_response(&e.error, id);
            if state.is_stopping() {
                response
                    .head_mut()
                    .set_connection_type(ConnectionType::Close);
            }
            response
        }
    }
}

/// A request that was refused before it was scheduled.
struct Refused {
    admission: Option<Admission>,
    error: CallerError,
}

impl From<CallerError> for Refused {
    fn from(error: CallerError) -> Self {
        let admission = None;
        Self { admission, error }
    }
}

/// The name under which requests of nobody in particular are counted.
const NOBODY: &str = "none";

fn count_refused(state: &EntryState, refused: &Refused) {
    let key = match &refused.admission {
        Some(admission) => BurnKey {
            tier: admission.tier.clone(),
            organisation: admission.organisation.clone(),
        },
        None => BurnKey {
            tier: Name::new(NOBODY),
            organisation: Name::new(NOBODY),
        },
    };
    state.record_outcome(key, refused.error.outcome(), None);
}

async fn serve(state: &Rc<EntryState>, req: &mut Request) -> Result<Response<BoxBody>, Refused> {
    if state.is_ending() {
        return Err(CallerError::Stopping.into());
    }
    let arrived = state.now();
    let left = arrived.until(Timestamp::new(FIRST_SETTINGS));
    if !state.active_settings.wait_for_settings(left).await {
        return Err(CallerError::NotReady.into());
    }
    let settings = state.active_settings.settings();
    let dialect = Rc::clone(&state.dialect);
    let draw = |total| state.draw(total);
    let admission = Admission::new(req.head(), &*dialect, &settings, &state.keys(), draw)?;
    let admitted = admission.clone();
    let refused = |error| Refused {
        admission: Some(admitted.clone()),
        error,
    };
    let limited = || refused(CallerError::Limited(LIMITED_RETRY));
    let entered = state.enter(&admission.organisation).ok_or_else(limited)?;
    let bytes = declared_length(req, settings.limits.body).map_err(&refused)?;
    let (events, heard) = mpsc::unbounded_channel();
    let deadline = arrived + admission.deadline;
    let held = state.hold(admission.order, deadline, bytes, events.clone());
    let full = || refused(CallerError::Overloaded(FULL_RETRY));
    let mut held = Held {
        request: Some(held.ok_or_else(full)?),
        state: Rc::clone(state),
    };
    let body = read_body(req, settings.limits.body, settings.limits.caller_timeout);
    let body = body.await.map_err(&refused)?;
    let job = admission.with_body(req.head(), &*dialect, &settings, body);
    let job = job.map_err(&refused)?;
    let spent = state.spend(&job).map_err(&refused)?;
    let claimed = match claim(state, req.head(), &job).await.map_err(&refused)? {
        None => None,
        Some(Keyed::Granted(claimed)) => Some(claimed),
        Some(Keyed::Replayed(answer)) => return Ok(replay(&answer)),
    };
    let Some(request) = held.request.take() else {
        return Err(full());
    };
    let accepted = AcceptedRequest {
        request,
        job,
        arrived,
        claimed,
        entered,
        spent,
    };
    Ok(answer(state, accepted, (events, heard)).await)
}

/// Claims the key of a request that carries one.
async fn claim(
    state: &EntryState,
    head: &RequestHead,
    job: &Job,
) -> Result<Option<Keyed>, CallerError> {
    let Some(key) = key_of(head, job)? else {
        return Ok(None);
    };
    let claim_store = state.claims.as_ref();
    let claim_store = claim_store.ok_or(CallerError::ClaimsUnsupported)?;
    let limits = &state.active_settings.settings().limits;
    keyed::claim(claim_store, limits, job, &key).await.map(Some)
}

async fn answer(
    state: &Rc<EntryState>,
    accepted: AcceptedRequest,
    channel: (mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>),
) -> Response<BoxBody> {
    let (replies, mut received) = mpsc::channel(REPLIES_AHEAD);
    let id = accepted.job.logged_id(accepted.request).to_string();
    let serving = Serving::new(Rc::clone(state), accepted, channel, replies);
    actix_rt::spawn(serving.run());
    let mut response = match received.recv().await {
        Some(Reply::Head(status, headers)) => {
            let mut response = head(status, &headers);
            if let Some(name) = state.dialect.request_id_header() {
                response.insert_header((name, id));
            }
            response
                .body(BodyStream::new(body(received)))
                .map_into_boxed_body()
        }
        Some(Reply::Error(error)) => state.dialect.error_response(&error, &id),
        Some(Reply::Bytes(_) | Reply::End | Reply::Broken) | None => {
            state.dialect.error_response(&CallerError::Unknown, &id)
        }
    };
    if state.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

fn head(status: u16, headers: &[Header]) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for header in headers {
        builder.append_header((header.name.as_str(), header.value.as_ref()));
    }
    builder
}

/// The body of an answer; it ends with an error, which closes the connection
/// in the middle of the body, unless all of it has come.
fn body(received: Receiver<Reply>) -> impl Stream<Item = Result<Bytes, Truncated>> {
    futures::stream::unfold(Some(received), |received| async {
        let mut received = received?;
        match received.recv().await {
            Some(Reply::Bytes(bytes)) => Some((Ok(bytes), Some(received))),
            Some(Reply::End) => None,
            Some(Reply::Broken | Reply::Error(_) | Reply::Head(..)) | None => {
                // The error drops what the server has not written yet.
                actix_rt::time::sleep(WRITTEN_WITHIN).await;
                Some((Err(Truncated), None))
            }
        }
    })
}

/// The bytes to reserve for a body whose length may not be known.
fn declared_length(req: &Request, limit: u64) -> Result<u64, CallerError> {
    let length = length_header(req.head())?;
    match length {
        Some(length) if length > limit => Err(CallerError::BodyTooLarge(limit)),
        Some(length) => Ok(length),
        None if req.head().headers.contains_key(header::TRANSFER_ENCODING) => Ok(limit),
        None => Ok(0),
    }
}

fn length_header(head: &RequestHead) -> Result<Option<u64>, CallerError> {
    let Some(value) = head.headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = value.to_str().ok().and_then(|v| v.parse().ok());
    let invalid = CallerError::InvalidHeader("content-length");
    length.map(Some).ok_or(invalid)
}

async fn read_body(req: &mut Request, limit: u64, within: Duration) -> Result<Bytes, CallerError> {
    let mut payload = req.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|_| CallerError::BodyBroken)?;
            if (body.len() + part.len()) as u64 > limit {
                return Err(CallerError::BodyTooLarge(limit));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    let timed = actix_rt::time::timeout(within, read).await;
    timed.unwrap_or(Err(CallerError::BodyTimeout))
}

impl CallerError {
    /// How the request counts for the service-level objective.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::MissingKey
            | Self::UnknownKey
            | Self::NoRoute
            | Self::Method
            | Self::UnknownModel(_)
            | Self::InvalidBody(_)
            | Self::InvalidHeader(_)
            | Self::BodyTooLarge(_)
            | Self::BodyTimeout
            | Self::KeyMismatch
            | Self::KeyRunning
            | Self::KeyRan
            | Self::ClaimsUnsupported
            | Self::BodyBroken => Outcome::invalid,
            Self::Overloaded(_) => Outcome::overloaded,
            Self::Late(_) => Outcome::expired,
            Self::Limited(_) | Self::OverQuota(_) => Outcome::limited,
            Self::NotReady | Self::Stopping | Self::ClaimsUnavailable | Self::Unavailable(_) => {
                Outcome::unavailable
            }
            Self::Unknown | Self::UpstreamFailed | Self::TimedOut => Outcome::unknown,
        }
    }
}
