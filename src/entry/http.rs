//! HTTP interface to callers.

use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::RequestHead;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::body;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::SizedStream;
use actix_http::header;
use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use slog::info;
use tokio::sync::mpsc;

use crate::admission::retry_after;
use crate::burn::BurnKey;
use crate::clock::Timestamp;
use crate::dispatch::Event;
use crate::entry::collected::Truncated;
use crate::entry::collected::collect_body;
use crate::entry::collected::collected_stream;
use crate::entry::error::CallerError;
use crate::entry::idempotency;
use crate::entry::idempotency::ClaimResult;
use crate::entry::idempotency::idempotency_key;
use crate::entry::idempotency::replay_response;
use crate::entry::reply_queue::Collection;
use crate::entry::reply_queue::ReplyReceiver;
use crate::entry::reply_queue::reply_queue;
use crate::entry::request::Admission;
use crate::entry::request::Job;
use crate::entry::serve::AcceptedRequest;
use crate::entry::serve::Reply;
use crate::entry::serve::RequestTask;
use crate::entry::state::EntryState;
use crate::event_loop;
use crate::headers::Header;
use crate::health::liveness;
use crate::health::readiness;
use crate::http_server::CallerPresence;
use crate::ids::RequestId;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::units::millis;

mod origin;

use self::origin::find_origin;

/// Time for writing the received parts of a truncated answer before the
/// connection is closed. It covers several event-loop iterations of a busy
/// process.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Time after the start of the entry during which requests wait for the first
/// settings. A responsive object store delivers them within a fraction of it.
const FIRST_SETTINGS_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay for an organisation that has reached its concurrency limit.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay where the entry is full.
const ENTRY_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Guard that releases a held request when dropped, unless the request was
/// taken out of it.
struct HeldGuard {
    state: Rc<EntryState>,
    request: Option<RequestId>,
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.state.release(request);
        }
    }
}

/// Handles one request of a caller.
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
                "retry_after_ms" => e.error.retry_after().map(millis),
                "revision" => state.active_settings.revision().0,
                "settings_ms" => state.active_settings.age().map(millis),
                "outcome" => e.error.outcome().name());
            record_refusal(&state, &e);
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

/// Refusal of a request before it was scheduled.
struct RefusedRequest {
    admission: Option<Admission>,
    error: CallerError,
}

impl From<CallerError> for RefusedRequest {
    fn from(error: CallerError) -> Self {
        let admission = None;
        Self { admission, error }
    }
}

/// Tier and organisation under which requests without an admission are counted.
const UNIDENTIFIED: &str = "none";

fn record_refusal(state: &EntryState, refused: &RefusedRequest) {
    let key = match &refused.admission {
        Some(admission) => BurnKey {
            tier: admission.tier.clone(),
            organisation: admission.organisation.clone(),
        },
        None => BurnKey {
            tier: Name::new(UNIDENTIFIED),
            organisation: Name::new(UNIDENTIFIED),
        },
    };
    state.record_outcome(key, refused.error.outcome(), None);
}

async fn serve(
    state: &Rc<EntryState>,
    req: &mut Request,
) -> Result<Response<BoxBody>, RefusedRequest> {
    if state.refuses_new_requests() {
        return Err(CallerError::Stopping.into());
    }
    let arrived = state.now();
    // Timestamps count from the start of the entry's clock, so the constant is the
    // time since the start.
    let settings_timeout = arrived.until(Timestamp::new(FIRST_SETTINGS_TIMEOUT));
    if !state
        .active_settings
        .wait_for_settings(settings_timeout)
        .await
    {
        return Err(CallerError::NotReady.into());
    }
    let settings = state.active_settings.settings();
    let dialect = Rc::clone(&state.dialect);
    let random_below = |total| state.random_below(total);
    let mut admission = Admission::new(
        req.head(),
        &*dialect,
        &settings,
        &state.keys(),
        random_below,
    )?;
    let sends_deadline = dialect.deadline(req.head())?.is_some();
    let resumes = admission.resumes;
    if sends_deadline && dialect.deadline_counts_down() && !resumes {
        admission.tried_for = state.record_caller(&admission.route_name, admission.deadline);
    }
    let admitted = admission.clone();
    let refuse = |error| RefusedRequest {
        admission: Some(admitted.clone()),
        error,
    };
    let overloaded = |wait| {
        refuse(CallerError::Overloaded(retry_after(
            wait,
            admitted.deadline,
        )))
    };
    if let Some(service) = admission.service.as_ref().filter(|_| !resumes) {
        match state.place(&admitted, service) {
            Ok(placed) => admission.placed = placed,
            Err(wait) => {
                discard_body(req, settings.limits.body, settings.limits.caller_timeout).await;
                return Err(overloaded(wait));
            }
        }
    }
    let limited = || refuse(CallerError::Limited(LIMITED_RETRY_AFTER));
    let concurrency_permit = state
        .acquire_permit(&admission.organisation)
        .ok_or_else(limited)?;
    let bytes = body_reservation(req, settings.limits.body).map_err(&refuse)?;
    let (evicted_tx, evicted_rx) = mpsc::unbounded_channel();
    let deadline = arrived + admission.deadline;
    let held = state.hold(admission.eviction_rank(), deadline, bytes, evicted_tx);
    let full = || refuse(CallerError::Overloaded(ENTRY_FULL_RETRY_AFTER));
    let mut held = HeldGuard {
        request: Some(held.ok_or_else(full)?),
        state: Rc::clone(state),
    };
    let body = read_body(req, settings.limits.body, settings.limits.caller_timeout);
    let body = body.await.map_err(&refuse)?;
    let job = admission.into_job(req.head(), &*dialect, &settings, body);
    let mut job = job.map_err(&refuse)?;
    state.check_quarantine(&job).map_err(&refuse)?;
    // Otherwise the body names the model, and the check was not possible before.
    if admitted.service.is_none() && !resumes {
        let placed = state.place(&admitted, &job.target);
        job.admission.placed = placed.map_err(overloaded)?;
    }
    let origin = find_origin(state, &mut job).await.map_err(&refuse)?;
    let quota_charge = state.charge_quota(&job).await.map_err(&refuse)?;
    let claim = match claim_if_needed(state, req.head(), &job)
        .await
        .map_err(&refuse)?
    {
        None => None,
        Some(ClaimResult::Acquired(claim)) => Some(claim),
        Some(ClaimResult::Replayed(answer)) => return Ok(replay_response(&answer)),
    };
    // Always present: it is set above and taken only here.
    let Some(request) = held.request.take() else {
        return Err(full());
    };
    let accepted = AcceptedRequest {
        request,
        job,
        arrived,
        origin,
        presence: req.extensions().get::<CallerPresence>().cloned(),
        claim,
        concurrency_permit,
        quota_charge,
    };
    let knows_chunks = req.version() > Version::HTTP_10;
    Ok(serve_accepted(state, accepted, evicted_rx, knows_chunks).await)
}

/// Claims the idempotency key of a request; `None` where no claim is needed.
async fn claim_if_needed(
    state: &EntryState,
    head: &RequestHead,
    job: &Job,
) -> Result<Option<ClaimResult>, CallerError> {
    let Some(key) = idempotency_key(head, job)? else {
        return Ok(None);
    };
    let claim_store = state.claims.as_ref();
    let claim_store = claim_store.ok_or(CallerError::ClaimsUnsupported)?;
    let limits = &state.active_settings.settings().limits;
    idempotency::claim_key(claim_store, limits, job, &key)
        .await
        .map(Some)
}

/// Starts the task of an accepted request and returns its response once the head
/// or an error is available. For a caller that does not know chunks, the body is
/// collected first.
async fn serve_accepted(
    state: &Rc<EntryState>,
    accepted: AcceptedRequest,
    evicted_rx: mpsc::UnboundedReceiver<Event>,
    knows_chunks: bool,
) -> Response<BoxBody> {
    let (reply_tx, mut reply_rx) = reply_queue(&state.answers);
    let id = accepted.job.logged_id(accepted.request).to_string();
    let task = RequestTask::new(Rc::clone(state), accepted, evicted_rx, reply_tx);
    actix_rt::spawn(task.run());
    let mut response = match reply_rx.recv().await {
        Some(Reply::Head(status, headers)) => {
            let mut response = response_head(status, &headers);
            if let Some(name) = state.dialect.request_id_header() {
                response.insert_header((name, id.as_str()));
            }
            let body = body_stream(reply_rx);
            match knows_chunks {
                // The end of a chunked body would be taken for the next response.
                _ if ends_with_head(status) => {
                    // Boxed, since the future of each request would be larger otherwise.
                    Box::pin(end_without_body(state, response, body, &id)).await
                }
                true => response.body(BodyStream::new(body)).map_into_boxed_body(),
                false => match collect_body(body, Collection::new(&state.answers)).await {
                    Ok((body, collection)) => {
                        let length = body.len() as u64;
                        response
                            .body(SizedStream::new(length, collected_stream(body, collection)))
                            .map_into_boxed_body()
                    }
                    Err(Truncated) => {
                        let error = CallerError::UnknownOutcome;
                        state.dialect.error_response(&error, &id)
                    }
                },
            }
        }
        Some(Reply::Error(error)) => state.dialect.error_response(&error, &id),
        Some(Reply::Bytes(_) | Reply::End | Reply::Truncated) | None => state
            .dialect
            .error_response(&CallerError::UnknownOutcome, &id),
    };
    if state.is_stopping() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

fn response_head(status: u16, headers: &[Header]) -> actix_http::ResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    for header in headers {
        builder.append_header((header.name.as_str(), header.value.as_ref()));
    }
    builder
}

/// Returns whether responses with this status have no body (RFC 9110, section 6.4.1).
fn ends_with_head(status: u16) -> bool {
    matches!(status, 204 | 304)
}

/// Returns a response without a body after the end of its empty answer.
async fn end_without_body<S>(
    state: &EntryState,
    mut response: actix_http::ResponseBuilder,
    body: S,
    id: &str,
) -> Response<BoxBody>
where
    S: Stream<Item = Result<Bytes, Truncated>>,
{
    match collect_body(body, Collection::new(&state.answers)).await {
        Ok(_) => response.body(body::None::new()).map_into_boxed_body(),
        Err(Truncated) => state
            .dialect
            .error_response(&CallerError::UnknownOutcome, id),
    }
}

/// Streams the body of an answer. An incomplete body ends with an error, which
/// closes the connection before the end of the body.
fn body_stream(reply_rx: ReplyReceiver) -> impl Stream<Item = Result<Bytes, Truncated>> {
    futures::stream::unfold(Some(reply_rx), |reply_rx| async {
        let mut reply_rx = reply_rx?;
        match reply_rx.recv().await {
            Some(Reply::Bytes(bytes)) => Some((Ok(bytes), Some(reply_rx))),
            Some(Reply::End) => None,
            Some(Reply::Truncated | Reply::Error(_) | Reply::Head(..)) | None => {
                // The error discards what the server has not written yet.
                actix_rt::time::sleep(FLUSH_TIME).await;
                Some((Err(Truncated), None))
            }
        }
    })
}

/// Returns the number of bytes to reserve for the body: its declared length, or
/// `limit` where the length is unknown.
fn body_reservation(req: &Request, limit: u64) -> Result<u64, CallerError> {
    let length = content_length(req.head())?;
    match length {
        Some(length) if length > limit => Err(CallerError::BodyTooLarge(limit)),
        Some(length) => Ok(length),
        None if req.head().headers.contains_key(header::TRANSFER_ENCODING) => Ok(limit),
        None => Ok(0),
    }
}

fn content_length(head: &RequestHead) -> Result<Option<u64>, CallerError> {
    let Some(value) = head.headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = value.to_str().ok().and_then(|v| v.parse().ok());
    let invalid = CallerError::InvalidHeader("content-length");
    length.map(Some).ok_or(invalid)
}

/// Reads a body without keeping it, up to `limit` bytes. A connection that is closed
/// with unread bytes is reset, and its caller may lose the answer.
async fn discard_body(req: &mut Request, limit: u64, timeout: Duration) {
    let mut payload = req.take_payload();
    let read = async {
        let mut bytes = 0;
        while let Some(Ok(part)) = payload.next().await {
            bytes += part.len() as u64;
            if bytes > limit {
                return;
            }
        }
    };
    // A body that does not end in time is cut off with the connection.
    let _ = event_loop::timeout(timeout, read).await;
}

async fn read_body(req: &mut Request, limit: u64, timeout: Duration) -> Result<Bytes, CallerError> {
    let mut payload = req.take_payload();
    // A buffer that grows with the body would take up to twice its size.
    let length = content_length(req.head())?.unwrap_or(0).min(limit);
    let read = async {
        let mut body = BytesMut::with_capacity(usize::try_from(length).unwrap_or(0));
        while let Some(part) = payload.next().await {
            let part = part.map_err(|_| CallerError::BodyBroken)?;
            if (body.len() + part.len()) as u64 > limit {
                return Err(CallerError::BodyTooLarge(limit));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    let timed = event_loop::timeout(timeout, read).await;
    timed.unwrap_or(Err(CallerError::BodyTimeout))
}

impl CallerError {
    /// Returns the outcome under which the request is counted.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::MissingApiKey
            | Self::UnknownApiKey
            | Self::NoRoute
            | Self::MethodNotAllowed
            | Self::UnknownModel(_)
            | Self::InvalidBody(_)
            | Self::InvalidHeader(_)
            | Self::BodyTooLarge(_)
            | Self::BodyTimeout
            | Self::IdempotencyKeyMismatch
            | Self::IdempotencyKeyRunning
            | Self::IdempotencyKeyRan
            | Self::ClaimsUnsupported
            | Self::BodyBroken => Outcome::invalid,
            Self::Overloaded(_) => Outcome::overloaded,
            Self::DeadlineUnreachable(_) => Outcome::expired,
            Self::Limited(_) | Self::OverQuota(_) => Outcome::limited,
            Self::NotReady
            | Self::Stopping
            | Self::ClaimsUnavailable
            | Self::VersionUnavailable(_)
            | Self::Quarantined(_)
            | Self::Unavailable(_) => Outcome::unavailable,
            Self::UnknownOutcome | Self::UpstreamFailed | Self::TimedOut => Outcome::unknown,
        }
    }
}
