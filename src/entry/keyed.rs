//! Requests that carry an `Idempotency-Key`.

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

/// The header that carries the key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The header that marks an answer that was given before.
const REPLAYED_HEADER: &str = "idempotency-replayed";

const MAX_KEY_BYTES: usize = 255;

/// The largest body that is kept to be given again, in bytes.
const MAX_KEPT_BODY: usize = 512;

/// A granted claim of a request in flight. It follows the answer and notes in
/// the store how the work has ended.
pub struct Claimed {
    claim_store: Rc<ClaimStore>,
    key: ClaimKey,
    nonce: ClaimNonce,
    answer: SavedAnswer,
    body: Vec<u8>,
    overflown: bool,
}

/// What a key leads to.
pub enum Keyed {
    /// The work may be dispatched.
    Granted(Claimed),
    /// The work has run before, with this answer.
    Replayed(SavedAnswer),
}

/// The key of a request; none if it carries none or needs none.
pub fn key_of(head: &RequestHead, job: &Job) -> Result<Option<String>, CallerError> {
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

/// Claims the key of a request.
pub async fn claim(
    claim_store: &Rc<ClaimStore>,
    limits: &Limits,
    job: &Job,
    key: &str,
) -> Result<Keyed, CallerError> {
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
        runs_until: now + job.admission.deadline.as_secs() + limits.run.as_secs(),
        kept_until: now + limits.keys_kept.as_secs(),
        state: ClaimState::Claimed,
    };
    claim_store.set_shard_count(limits.claim_shards);
    match claim_store.claim(key.clone(), claim).await {
        Ok(ClaimVerdict::Granted) => Ok(Keyed::Granted(Claimed {
            claim_store: Rc::clone(claim_store),
            key,
            nonce,
            answer: SavedAnswer {
                status: 0,
                content_type: None,
                body: None,
            },
            body: Vec::new(),
            overflown: false,
        })),
        Ok(ClaimVerdict::Done(answer)) if answer.body.is_some() => Ok(Keyed::Replayed(answer)),
        Ok(ClaimVerdict::Done(_)) => Err(CallerError::KeyRan),
        Ok(ClaimVerdict::Mismatch) => Err(CallerError::KeyMismatch),
        Ok(ClaimVerdict::Running) => Err(CallerError::KeyRunning),
        Ok(ClaimVerdict::Unknown | ClaimVerdict::Recorded) => Err(CallerError::Unknown),
        Err(ClaimError::Unavailable | ClaimError::Full) => Err(CallerError::ClaimsUnavailable),
    }
}

impl Claimed {
    /// Follows the head of the answer.
    pub fn head(&mut self, status: u16, headers: &[Header]) {
        let content_type = headers.iter().find(|h| &*h.name == "content-type");
        let content_type = content_type.and_then(|h| std::str::from_utf8(&h.value).ok());
        self.answer.status = status;
        self.answer.content_type = content_type.map(Name::new);
    }

    /// Follows the body of the answer.
    pub fn bytes(&mut self, bytes: &[u8]) {
        self.overflown |= self.body.len() + bytes.len() > MAX_KEPT_BODY;
        if !self.overflown {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Notes that the work has run and its answer is whole.
    pub fn done(mut self) {
        let body = std::str::from_utf8(&self.body).ok();
        self.answer.body = body.filter(|_| !self.overflown).map(Name::new);
        let state = ClaimState::Done(self.answer);
        let operation = Operation::Finish(self.key.clone(), self.nonce, state);
        self.claim_store.submit(&self.key, operation);
    }

    /// Notes that the work may have run.
    pub fn unknown(self) {
        let operation = Operation::Finish(self.key.clone(), self.nonce, ClaimState::Unknown);
        self.claim_store.submit(&self.key, operation);
    }

    /// Gives the claim up: the work was not dispatched.
    pub fn release(self) {
        let operation = Operation::Release(self.key.clone(), self.nonce);
        self.claim_store.submit(&self.key, operation);
    }
}

/// An answer that was given before.
pub fn replay(answer: &SavedAnswer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    if let Some(content_type) = &answer.content_type {
        builder.insert_header((header::CONTENT_TYPE, content_type.as_str()));
    }
    builder.insert_header((REPLAYED_HEADER, "true"));
    let body = answer.body.as_deref().unwrap_or_default();
    builder.body(body.to_owned()).map_into_boxed_body()
}
