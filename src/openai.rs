//! The product's own manner of speaking: the OpenAI format towards engines,
//! plain HTTP towards services, and its own headers towards callers.

use std::time::Duration;

use actix_http::RequestHead;
use actix_http::Response;
use actix_http::body::BoxBody;

use crate::dialect::AnswerVerdict;
use crate::dialect::Dialect;
use crate::dialect::ForwardContext;
use crate::dialect::Prompt;
use crate::entry::CallerError;
use crate::entry::DEADLINE_HEADER;
use crate::entry::TIER_HEADER;
use crate::exchange::AnswerHead;
use crate::name::Name;
use crate::prompt;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerForm;

/// The header that tells the caller the id of its request.
const REQUEST_ID_HEADER: &str = "x-almondramp-request-id";

/// Headers that concern the entry only.
const WITHHELD: [&str; 3] = ["authorization", TIER_HEADER, DEADLINE_HEADER];

/// The product's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenAi;

impl Dialect for OpenAi {
    fn deadline(&self, head: &RequestHead) -> Result<Option<Duration>, CallerError> {
        let Some(wanted) = head.headers.get(DEADLINE_HEADER) else {
            return Ok(None);
        };
        let wanted = wanted.to_str().ok().and_then(|v| v.parse().ok());
        let wanted = wanted.ok_or(CallerError::InvalidHeader(DEADLINE_HEADER))?;
        Ok(Some(Duration::from_millis(wanted)))
    }

    fn tier(&self, head: &RequestHead) -> Result<Option<Name>, CallerError> {
        let Some(wanted) = head.headers.get(TIER_HEADER) else {
            return Ok(None);
        };
        let wanted = wanted.to_str();
        let wanted = wanted.map_err(|_| CallerError::InvalidHeader(TIER_HEADER))?;
        Ok(Some(Name::new(wanted)))
    }

    fn prompt(&self, _head: &RequestHead, body: &[u8]) -> Result<Prompt, CallerError> {
        prompt::parse(body)
    }

    fn request_id(&self, _head: &RequestHead) -> Option<Name> {
        None
    }

    fn stripped_headers(&self) -> &'static [&'static str] {
        &WITHHELD
    }

    fn add_headers(&self, _call: &mut UpstreamRequest, _onward: &ForwardContext<'_>) {}

    fn verdict(&self, _id: Option<&Name>, _answer: &AnswerHead) -> AnswerVerdict {
        AnswerVerdict::Answer
    }

    fn form(&self, upstream_request: &UpstreamRequest, upstream: &Upstream) -> AnswerForm {
        match upstream.kind {
            UpstreamKind::Service => AnswerForm::Opaque,
            UpstreamKind::Model if prompt::asks_stream(&upstream_request.body) => {
                AnswerForm::Events
            }
            UpstreamKind::Model => AnswerForm::Document,
        }
    }

    fn asks_health(&self, path: &str) -> bool {
        matches!(path, "/healthz" | "/readyz")
    }

    fn refusal(&self, error: &CallerError, id: &str) -> Response<BoxBody> {
        error.response(Some(id))
    }

    fn id_header(&self) -> Option<&'static str> {
        Some(REQUEST_ID_HEADER)
    }
}
