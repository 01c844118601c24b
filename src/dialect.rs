//! How callers and upstreams say what scheduling needs to know.
//!
//! The product has a dialect of its own; a platform may have another.

use std::time::Duration;

use actix_http::RequestHead;
use actix_http::Response;
use actix_http::body::BoxBody;

use crate::entry::CallerError;
use crate::exchange::AnswerHead;
use crate::name::Name;
use crate::settings::Upstream;
use crate::ticket::Work;
use crate::upstream_request::UpstreamRequest;
use crate::usage::AnswerForm;

/// What scheduling knows of a prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model that is to answer; absent where the route decides.
    pub model: Option<Name>,
    /// What the work is believed to take.
    pub work: Work,
    /// The most tokens that the request may count for.
    pub most_tokens: u64,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
}

/// What goes with a request to its upstream.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// Whose request it is; absent where the route needs no key.
    pub organisation: Option<&'a Name>,
    /// The time that is left for the answer.
    pub remaining: Duration,
    /// The life of the upstream that is meant; absent where unknown.
    pub instance: Option<&'a Name>,
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
}

/// What the head of an upstream's answer says of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerVerdict {
    /// This is the answer.
    Answer,
    /// The upstream has no room; the request was not run.
    Full,
    /// Another upstream has this address; the request was not run.
    WrongInstance,
    /// The upstream is not the one that answered, or has answered another
    /// request.
    Foreign,
}

/// The manner of speaking of callers and upstreams.
pub trait Dialect {
    /// The time within which the caller wants its answer.
    fn deadline(&self, head: &RequestHead) -> Result<Option<Duration>, CallerError>;

    /// The tier that the caller asks for; it can only lower its own.
    fn tier(&self, head: &RequestHead) -> Result<Option<Name>, CallerError>;

    /// What a request for a model says of its work.
    fn prompt(&self, head: &RequestHead, body: &[u8]) -> Result<Prompt, CallerError>;

    /// The id by which the caller knows its request.
    fn request_id(&self, head: &RequestHead) -> Option<Name>;

    /// The headers of callers that upstreams don't receive, in lower case.
    fn stripped_headers(&self) -> &'static [&'static str];

    /// Adds to a call what its upstream has to know.
    fn add_headers(&self, upstream_request: &mut UpstreamRequest, context: &ForwardContext<'_>);

    /// What the head of an answer says of the request `id`.
    fn verdict(&self, id: Option<&Name>, answer: &AnswerHead) -> AnswerVerdict;

    /// The form of an answer, by which its end and its usage are known.
    fn form(&self, upstream_request: &UpstreamRequest, upstream: &Upstream) -> AnswerForm;

    /// Whether `path` asks for the health of the entry itself.
    fn asks_health(&self, path: &str) -> bool;

    /// A refusal in the form that callers expect.
    fn refusal(&self, error: &CallerError, id: &str) -> Response<BoxBody>;

    /// The header by which callers learn the entry's id of their request.
    fn id_header(&self) -> Option<&'static str>;
}
