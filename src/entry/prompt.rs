//! Reads the parts of an OpenAI request body that scheduling needs.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::entry::error::CallerError;
use crate::name::Name;
use crate::prefix::chunk_hashes;
use crate::prefix::estimate_tokens;
use crate::ticket::Work;

/// Tokens expected of an answer whose request sets no bound.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// What scheduling knows of a prompt.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model that is to answer.
    pub model: Name,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
    /// What the work is believed to take.
    pub work: Work,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
}

#[derive(Deserialize)]
struct Body<'a> {
    model: Name,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

impl Prompt {
    /// Reads a body in JSON.
    pub fn parse(body: &[u8]) -> Result<Self, CallerError> {
        let invalid = |e: serde_json::Error| CallerError::InvalidBody(e.to_string());
        let body: Body<'_> = serde_json::from_slice(body).map_err(invalid)?;
        let Some(text) = body.messages.or(body.prompt) else {
            let text = "messages or prompt is needed".to_owned();
            return Err(CallerError::InvalidBody(text));
        };
        let output = body.max_completion_tokens.or(body.max_tokens);
        let text = text.get().as_bytes();
        Ok(Self {
            work: Work {
                prefill: estimate_tokens(text.len()),
                cached: 0,
                output: output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
            },
            prefix: chunk_hashes(&body.model, text),
            model: body.model,
            stream: body.stream,
        })
    }
}
