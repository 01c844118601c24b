//! Claims for requests that carry an `Idempotency-Key`.
//!
//! A claim is a record in the object store that reserves a key for one request.
//! It prevents another request with the key from running, and later holds the
//! outcome.

use std::rc::Rc;

use actix_http::RequestHead;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header;
use rand::RngExt;

use crate::claims::Claim;
use crate::claims::ClaimError;
use crate::claims::ClaimKey;
use crate::claims::ClaimNonce;
use crate::claims::ClaimState;
use crate::claims::ClaimStore;
use crate::claims::ClaimVerdict;
use crate::claims::Digest;
use crate::claims::Operation;
use crate::claims::SavedAnswer;
use crate::claims::unix_now;
use crate::entry::error::CallerError;
use crate::entry::request::Job;
use crate::headers::Header;
use crate::name::Name;
use crate::settings::Limits;

/// Header that carries the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header that marks a replayed answer.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// Longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Largest body that is saved for replay, in bytes. A larger one is not saved at
/// all, not even in part.
const MAX_SAVED_BODY: usize = 512;

/// Claim that a request in flight owns.
///
/// It collects the answer and writes the result of the work to the claim store.
pub struct OwnedClaim {
    claim_store: Rc<ClaimStore>,
    key: ClaimKey,
    nonce: ClaimNonce,
    answer: SavedAnswer,
    body: Vec<u8>,
    body_overflowed: bool,
}

/// Result of claiming a key.
pub enum ClaimResult {
    /// The key is claimed; the request can be dispatched.
    Acquired(OwnedClaim),
    /// The request has already run, with this answer.
    Replayed(SavedAnswer),
}

/// Returns the key of a request; `None` where it carries no key, or needs none
/// because it is idempotent or cancellable.
///
/// Fails if the key is empty, too long or not visible ASCII.
pub fn idempotency_key(head: &RequestHead, job: &Job) -> Result<Option<String>, CallerError> {
    let Some(value) = head.headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    if job.idempotent || job.cancellable {
        return Ok(None);
    }
    let invalid = CallerError::InvalidHeader(KEY_HEADER);
    let text = value.to_str().map_err(|_| invalid.clone())?;
    let key = text.trim().trim_matches('"');
    match (1..=MAX_KEY_BYTES).contains(&key.len()) {
        true => Ok(Some(key.to_owned())),
        false => Err(invalid),
    }
}

/// Claims `key` for a request in the claim store.
pub async fn claim_key(
    claim_store: &Rc<ClaimStore>,
    limits: &Limits,
    job: &Job,
    key: &str,
) -> Result<ClaimResult, CallerError> {
    let key = ClaimKey::new(&job.admission.organisation, key);
    let upstream_request = &job.upstream_request;
    let parts = [
        upstream_request.method.as_bytes(),
        upstream_request.path.as_bytes(),
        &upstream_request.body,
    ];
    let nonce = ClaimNonce(rand::rng().random());
    let now = unix_now();
    let claim = Claim {
        nonce,
        request: Digest::new(&parts),
        // After its deadline and `limits.run`, a claim that was not finished counts
        // as unknown.
        runs_until: now + job.admission.deadline.as_secs() + limits.run.as_secs(),
        kept_until: now + limits.keys_kept.as_secs(),
        state: ClaimState::Claimed,
    };
    claim_store.set_shard_count(limits.claim_shards);
    match claim_store.claim(key.clone(), claim).await {
        Ok(ClaimVerdict::Granted) => Ok(ClaimResult::Acquired(OwnedClaim {
            claim_store: Rc::clone(claim_store),
            key,
            nonce,
            answer: SavedAnswer {
                status: 0,
                content_type: None,
                body: None,
            },
            body: Vec::new(),
            body_overflowed: false,
        })),
        Ok(ClaimVerdict::Done(answer)) if answer.body.is_some() => {
            Ok(ClaimResult::Replayed(answer))
        }
        Ok(ClaimVerdict::Done(_)) => Err(CallerError::IdempotencyKeyRan),
        Ok(ClaimVerdict::Mismatch) => Err(CallerError::IdempotencyKeyMismatch),
        Ok(ClaimVerdict::Running) => Err(CallerError::IdempotencyKeyRunning),
        // `Recorded` is not a result of a claim.
        Ok(ClaimVerdict::Unknown | ClaimVerdict::Recorded) => Err(CallerError::UnknownOutcome),
        Err(ClaimError::Unavailable | ClaimError::Full) => Err(CallerError::ClaimsUnavailable),
    }
}

impl OwnedClaim {
    /// Records the head of the answer.
    pub fn record_head(&mut self, status: u16, headers: &[Header]) {
        let content_type = headers.iter().find(|h| &*h.name == "content-type");
        let content_type = content_type.and_then(|h| std::str::from_utf8(&h.value).ok());
        self.answer.status = status;
        self.answer.content_type = content_type.map(Name::new);
    }

    /// Records the next bytes of the answer's body, up to the limit for saved
    /// bodies.
    pub fn record_body(&mut self, bytes: &[u8]) {
        self.body_overflowed |= self.body.len() + bytes.len() > MAX_SAVED_BODY;
        if !self.body_overflowed {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Records in the store that the work has run and its answer is complete.
    pub fn record_done(mut self) {
        let body = std::str::from_utf8(&self.body).ok();
        self.answer.body = body.filter(|_| !self.body_overflowed).map(Name::new);
        let state = ClaimState::Done(self.answer);
        let operation = Operation::Finish(self.key.clone(), self.nonce, state);
        self.claim_store.submit(&self.key, operation);
    }

    /// Records in the store that the work may have run.
    pub fn record_unknown(self) {
        let operation = Operation::Finish(self.key.clone(), self.nonce, ClaimState::Unknown);
        self.claim_store.submit(&self.key, operation);
    }

    /// Releases the claim of work that did not run.
    pub fn release(self) {
        let operation = Operation::Release(self.key.clone(), self.nonce);
        self.claim_store.submit(&self.key, operation);
    }
}

/// Creates the response that replays a saved answer.
pub fn replay_response(answer: &SavedAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    if let Some(content_type) = &answer.content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type.as_str()));
    }
    builder.insert_header((REPLAYED_HEADER, "true"));
    let body = answer.body.as_deref().unwrap_or_default();
    builder.body(body.to_owned()).map_into_boxed_body()
}
