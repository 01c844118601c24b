//! Errors returned to callers, as JSON with a stable code.

use std::time::Duration;

use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use rand::RngExt;
use serde::Serialize;
use thiserror::Error;

use crate::name::Name;
use crate::ticket::Refusal;
use crate::ticket::RefusalCode;

/// Maximum random extension of a retry delay, as a fraction of it, so that
/// refused callers don't retry simultaneously.
const RETRY_JITTER: f64 = 0.5;

/// Whether an upstream ran a request that was answered with an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// The request was certainly not run.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// The request was run.
    Ran,
}

/// Reason why a request failed, as reported to the caller.
///
/// The messages are part of the API and must stay stable.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// The request carries no API key.
    #[error("an API key is needed: Authorization: Bearer KEY")]
    MissingApiKey,
    /// The API key belongs to no organisation.
    #[error("the API key is not known")]
    UnknownApiKey,
    /// No route matches the host and path.
    #[error("no route has this path")]
    NoRoute,
    /// The route doesn't accept the method of the request.
    #[error("the route takes POST only")]
    MethodNotAllowed,
    /// No upstream serves the requested model.
    #[error("no upstream serves model {0}")]
    UnknownModel(Name),
    /// The body is not what the route expects.
    #[error("the body is not valid: {0}")]
    InvalidBody(String),
    /// A header can't be parsed.
    #[error("header {0} is not valid")]
    InvalidHeader(&'static str),
    /// The body exceeds the limit, in bytes.
    #[error("the body exceeds {0} bytes")]
    BodyTooLarge(u64),
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// The connection failed before the whole body arrived.
    #[error("the body broke off")]
    BodyBroken,
    /// The entry has no settings yet.
    #[error("the entry has no settings yet")]
    NotReady,
    /// The entry is shutting down.
    #[error("the entry is stopping")]
    Stopping,
    /// Too many requests of the same or a higher tier are waiting; holds the
    /// retry delay.
    #[error("too many requests of the same or a higher tier are waiting")]
    Overloaded(Duration),
    /// The deadline can't be met; holds the retry delay.
    #[error("the deadline cannot be met")]
    DeadlineUnreachable(Duration),
    /// The organisation has reached its limit of concurrent requests; holds
    /// the retry delay.
    #[error("the organisation has too many requests in flight")]
    Limited(Duration),
    /// No upstream can accept the request now; holds the retry delay.
    #[error("no upstream can take the request now")]
    Unavailable(Duration),
    /// No entry knows which software version began the stream to resume, or no upstream
    /// runs it; holds the retry delay.
    #[error("the stream cannot be resumed at the software version that began it")]
    VersionUnavailable(Duration),
    /// This request, or others with a part of its prompt, have crashed upstreams; holds the
    /// time to the next attempt.
    #[error("this request, or others with a part of its prompt, have crashed upstreams")]
    Quarantined(Duration),
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    IdempotencyKeyMismatch,
    /// A request with this idempotency key may be running.
    #[error("a request with this idempotency key may be running")]
    IdempotencyKeyRunning,
    /// A request with this idempotency key has run, but its answer was not
    /// saved.
    #[error("a request with this idempotency key has run; its answer was not kept")]
    IdempotencyKeyRan,
    /// The claim on the idempotency key can't be written.
    #[error("the claim on the idempotency key cannot be written")]
    ClaimsUnavailable,
    /// This deployment has no object store for idempotency keys.
    #[error("the site keeps no idempotency keys")]
    ClaimsUnsupported,
    /// The request may have been run, but its answer was lost.
    #[error("the request may have been run; its answer is lost")]
    UnknownOutcome,
    /// The upstream failed during the exchange; the request may have been run.
    #[error("the upstream failed; the request may have been run")]
    UpstreamFailed,
    /// The answer was not complete within the timeout of the route.
    #[error("the answer took too long; the request may have been run")]
    TimedOut,
    /// The organisation has exhausted its quota; holds the retry delay.
    #[error("the organisation has used up its quota")]
    OverQuota(Duration),
}

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorDetails<'a>,
}

#[derive(Serialize)]
struct ErrorDetails<'a> {
    code: &'static str,
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    run: RunStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

impl CallerError {
    /// Creates the error for a request that was not run, from the schedulers'
    /// refusal if there is one.
    pub fn from_refusal(refusal: Option<Refusal>, retry_after: Duration) -> Self {
        match refusal.map(|r| r.code) {
            Some(RefusalCode::Overloaded | RefusalCode::Evicted) => Self::Overloaded(retry_after),
            Some(RefusalCode::Late | RefusalCode::Expired) => {
                Self::DeadlineUnreachable(retry_after)
            }
            Some(
                RefusalCode::Draining
                | RefusalCode::Stale
                | RefusalCode::Unreachable
                | RefusalCode::Duplicate
                | RefusalCode::NotReady,
            )
            | None => Self::Unavailable(retry_after),
        }
    }

    /// Returns the stable code that identifies the error to programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::MissingApiKey => "missing-key",
            Self::UnknownApiKey => "unknown-key",
            Self::NoRoute => "no-route",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::UnknownModel(_) => "unknown-model",
            Self::InvalidBody(_) => "invalid-body",
            Self::InvalidHeader(_) => "invalid-header",
            Self::BodyTooLarge(_) => "body-too-large",
            Self::BodyTimeout => "body-timeout",
            Self::BodyBroken => "body-broken",
            Self::NotReady => "not-ready",
            Self::Stopping => "stopping",
            Self::Overloaded(_) => "overloaded",
            Self::DeadlineUnreachable(_) => "late",
            Self::Limited(_) => "limited",
            Self::Unavailable(_) => "unavailable",
            Self::VersionUnavailable(_) => "version-unavailable",
            Self::Quarantined(_) => "quarantined",
            Self::IdempotencyKeyMismatch => "key-mismatch",
            Self::IdempotencyKeyRunning => "key-running",
            Self::IdempotencyKeyRan => "key-ran",
            Self::ClaimsUnavailable => "claims-unavailable",
            Self::ClaimsUnsupported => "claims-unsupported",
            Self::UnknownOutcome => "unknown-outcome",
            Self::UpstreamFailed => "upstream-failed",
            Self::TimedOut => "timed-out",
            Self::OverQuota(_) => "over-quota",
        }
    }

    /// Returns whether the request was run.
    pub fn run_status(&self) -> RunStatus {
        match self {
            Self::UnknownOutcome
            | Self::UpstreamFailed
            | Self::TimedOut
            | Self::IdempotencyKeyRunning => RunStatus::Unknown,
            Self::IdempotencyKeyRan => RunStatus::Ran,
            _ => RunStatus::NotRun,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::MissingApiKey | Self::UnknownApiKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute | Self::UnknownModel(_) => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidBody(_) | Self::InvalidHeader(_) | Self::BodyBroken => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IdempotencyKeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::IdempotencyKeyRunning | Self::IdempotencyKeyRan => StatusCode::CONFLICT,
            Self::ClaimsUnsupported => StatusCode::NOT_IMPLEMENTED,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::Limited(_) | Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady
            | Self::Stopping
            | Self::ClaimsUnavailable
            | Self::Overloaded(_)
            | Self::DeadlineUnreachable(_)
            | Self::VersionUnavailable(_)
            | Self::Quarantined(_)
            | Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownOutcome | Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the time after which a retry may succeed, without jitter; `None`
    /// where a retry doesn't help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotReady
            | Self::Stopping
            | Self::ClaimsUnavailable
            | Self::IdempotencyKeyRunning => Some(Duration::from_secs(1)),
            Self::Overloaded(after)
            | Self::DeadlineUnreachable(after)
            | Self::Limited(after)
            | Self::OverQuota(after)
            | Self::VersionUnavailable(after)
            | Self::Quarantined(after)
            | Self::Unavailable(after) => Some(*after),
            _ => None,
        }
    }

    /// Creates the JSON response to the caller, with jitter added to the retry
    /// time.
    pub fn response(&self, request_id: Option<&str>) -> Response<BoxBody> {
        let after = self.retry_after().map(add_jitter);
        let body = ErrorDocument {
            error: ErrorDetails {
                code: self.code(),
                message: self.to_string(),
                kind: "almondramp",
                run: self.run_status(),
                retry_after_ms: after.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
                request_id,
            },
        };
        let json = serde_json::to_vec(&body).unwrap_or_default();
        let mut builder = Response::build(self.status());
        builder.insert_header((header::CONTENT_TYPE, "application/json"));
        if let Some(after) = after {
            let seconds = after.as_secs_f64().ceil().max(1.0);
            builder.insert_header((header::RETRY_AFTER, format!("{seconds:.0}")));
        }
        builder.body(json).map_into_boxed_body()
    }
}

fn add_jitter(after: Duration) -> Duration {
    after.mul_f64(1.0 + rand::rng().random_range(0.0..RETRY_JITTER))
}
