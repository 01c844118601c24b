//! The product's own dialect: the OpenAI format for engines, plain HTTP for
//! services, and the product's headers for callers.

use std::time::Duration;

use actix_http::RequestHead;
use actix_http::Response;
use actix_http::body::BoxBody;

use crate::answer_verdict::AnswerMarks;
use crate::dialect::Dialect;
use crate::dialect::ForwardContext;
use crate::dialect::Prompt;
use crate::entry::CallerError;
use crate::entry::DEADLINE_HEADER;
use crate::entry::TIER_HEADER;
use crate::exchange::AnswerHead;
use crate::name::Name;
use crate::prompt;
use crate::rate_limits::RateLimit;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::upstream_load::ReportedLoad;
use crate::upstream_notice::UpstreamNotice;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerFormat;

/// Response header with the id of the request.
const REQUEST_ID_HEADER: &str = "x-almondramp-request-id";

/// Header by which a caller that resumes a stream names the id of the request that
/// brought its first event.
const RESUMES_HEADER: &str = "x-almondramp-resumes";

/// Header of answers in which an upstream names its rate limit.
const RATE_LIMIT_HEADER: &str = "x-almondramp-rate-limit";

/// Header of answers in which an upstream reports its load.
const LOAD_HEADER: &str = "x-almondramp-load";

/// Headers for the entry only, which are not forwarded.
const STRIPPED_HEADERS: [&str; 4] = [
    "authorization",
    TIER_HEADER,
    DEADLINE_HEADER,
    RESUMES_HEADER,
];

/// The product's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenAi;

impl Dialect for OpenAi {
    fn deadline(&self, head: &RequestHead) -> Result<Option<Duration>, CallerError> {
        let Some(value) = head.headers.get(DEADLINE_HEADER) else {
            return Ok(None);
        };
        let value = value.to_str().ok().and_then(|v| v.parse().ok());
        let value = value.ok_or(CallerError::InvalidHeader(DEADLINE_HEADER))?;
        Ok(Some(Duration::from_millis(value)))
    }

    fn tier(&self, head: &RequestHead) -> Result<Option<Name>, CallerError> {
        let Some(value) = head.headers.get(TIER_HEADER) else {
            return Ok(None);
        };
        let value = value.to_str();
        let value = value.map_err(|_| CallerError::InvalidHeader(TIER_HEADER))?;
        Ok(Some(Name::new(value)))
    }

    fn parse_prompt(&self, _head: &RequestHead, body: &[u8]) -> Result<Prompt, CallerError> {
        prompt::parse(body)
    }

    fn request_id(&self, _head: &RequestHead) -> Option<Name> {
        None
    }

    fn resumed_request(&self, head: &RequestHead) -> Option<Name> {
        let id = head.headers.get(RESUMES_HEADER)?.to_str().ok()?;
        Some(Name::new(id))
    }

    fn stripped_headers(&self) -> &'static [&'static str] {
        &STRIPPED_HEADERS
    }

    fn add_headers(&self, _upstream_request: &mut UpstreamRequest, _context: &ForwardContext<'_>) {}

    fn read_marks(&self, _id: Option<&Name>, _answer: &AnswerHead) -> Option<AnswerMarks> {
        None
    }

    fn read_notice(&self, answer: &AnswerHead) -> UpstreamNotice {
        UpstreamNotice {
            // An upstream that leaves is told by the settings.
            leaving: false,
            hold_off: answer.hold_off(),
            rate_limit: answer.get(RATE_LIMIT_HEADER).map(RateLimit::parse),
            load: answer.get(LOAD_HEADER).map(ReportedLoad::parse),
        }
    }

    fn answer_format(
        &self,
        upstream_request: &UpstreamRequest,
        upstream: &Upstream,
    ) -> AnswerFormat {
        match upstream.kind {
            UpstreamKind::Service => AnswerFormat::Opaque,
            UpstreamKind::Model if prompt::requests_stream(&upstream_request.body) => {
                AnswerFormat::Events
            }
            UpstreamKind::Model => AnswerFormat::Document,
        }
    }

    fn run_report_path(&self, _kind: UpstreamKind) -> Option<Name> {
        None
    }

    fn read_run_start(&self, _report: &[u8]) -> Option<u64> {
        None
    }

    fn is_health_path(&self, path: &str) -> bool {
        matches!(path, "/healthz" | "/readyz")
    }

    fn error_response(&self, error: &CallerError, id: &str) -> Response<BoxBody> {
        error.response(Some(id))
    }

    fn deadline_counts_down(&self) -> bool {
        false
    }

    fn request_id_header(&self) -> Option<&'static str> {
        Some(REQUEST_ID_HEADER)
    }
}
