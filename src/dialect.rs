//! Dialects: the formats in which callers and upstreams exchange the
//! information that scheduling needs.
//!
//! The product has its own dialect; a platform can define another.

use std::time::Duration;

use actix_http::RequestHead;
use actix_http::Response;
use actix_http::body::BoxBody;

use crate::answer_verdict::AnswerMarks;
use crate::entry::CallerError;
use crate::exchange::AnswerHead;
use crate::name::Name;
use crate::prompt_parts::PartId;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::ticket::Work;
use crate::upstream_notice::UpstreamNotice;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerFormat;

/// Information that scheduling needs about a prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Requested model; `None` if the route determines it.
    pub model: Option<Name>,
    /// Estimated work.
    pub work: Work,
    /// Upper bound on the tokens of the prompt and the answer together, which
    /// is charged to the quota.
    pub max_total_tokens: u64,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
    /// Parts of the prompt that other requests may share, in order.
    pub parts: Vec<PartId>,
}

/// Information that is forwarded to the upstream with a request.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// Organisation that sent the request; `None` if the route needs no API key.
    pub organisation: Option<&'a Name>,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Instance of the upstream that the request is meant for; `None` if
    /// unknown.
    pub instance: Option<&'a Name>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// Format of the scheduling information in requests and answers.
pub trait Dialect {
    /// Returns the time within which the caller wants its answer, if it is
    /// set.
    ///
    /// # Errors
    ///
    /// Fails if the header is invalid.
    fn deadline(&self, head: &RequestHead) -> Result<Option<Duration>, CallerError>;

    /// Returns whether the deadline that callers send counts from their first attempt.
    /// A caller that comes back then sends a shorter one; otherwise a shorter deadline
    /// says nothing of earlier attempts.
    fn deadline_counts_down(&self) -> bool;

    /// Returns the tier that the caller requests, if any. A caller can only
    /// lower its own tier.
    ///
    /// # Errors
    ///
    /// Fails if the header is invalid.
    fn tier(&self, head: &RequestHead) -> Result<Option<Name>, CallerError>;

    /// Returns the model and the estimated work of a model request.
    ///
    /// # Errors
    ///
    /// Fails if the headers or the body are invalid.
    fn parse_prompt(&self, head: &RequestHead, body: &[u8]) -> Result<Prompt, CallerError>;

    /// Returns the id that the caller gave to its request.
    fn request_id(&self, head: &RequestHead) -> Option<Name>;

    /// Returns the id of the request that brought the first event of the stream that
    /// this request resumes, if the caller names it.
    fn resumed_request(&self, head: &RequestHead) -> Option<Name>;

    /// Returns the headers of callers that are not forwarded to upstreams, in
    /// lower case.
    fn stripped_headers(&self) -> &'static [&'static str];

    /// Adds the headers that carry `context` to the upstream.
    fn add_headers(&self, upstream_request: &mut UpstreamRequest, context: &ForwardContext<'_>);

    /// Returns the marks of an answer to the request with the caller's `id`; `None` if upstreams
    /// don't mark their answers.
    fn read_marks(&self, id: Option<&Name>, answer: &AnswerHead) -> Option<AnswerMarks>;

    /// Returns what the upstream says of itself in an answer.
    fn read_notice(&self, answer: &AnswerHead) -> UpstreamNotice;

    /// Returns the format of an answer, which determines how its end and its
    /// token counts are read.
    fn answer_format(
        &self,
        upstream_request: &UpstreamRequest,
        upstream: &Upstream,
    ) -> AnswerFormat;

    /// Returns the path at which an upstream of this kind reports, without a slot, when its run
    /// has started; `None` if there is none.
    fn run_report_path(&self, kind: UpstreamKind) -> Option<Name>;

    /// Returns the start of the run from such a report, as in [`Upstream::started`].
    fn read_run_start(&self, report: &[u8]) -> Option<u64>;

    /// Returns whether `path` is a health endpoint of the entry itself.
    fn is_health_path(&self, path: &str) -> bool;

    /// Returns an error response in the format that callers expect, with the
    /// request's `id`, which can be empty.
    fn error_response(&self, error: &CallerError, id: &str) -> Response<BoxBody>;

    /// Returns the response header that carries the entry's id of a request,
    /// if there is one.
    fn request_id_header(&self) -> Option<&'static str>;
}
