//! Parses the fields of an OpenAI request body that scheduling needs.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::dialect::Prompt;
use crate::entry::CallerError;
use crate::name::Name;
use crate::prefix::chunk_hashes;
use crate::prefix::estimate_tokens;
use crate::prompt_parts::prefix_parts;
use crate::ticket::Work;

/// Expected output tokens of a request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

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

/// Parses a JSON request body.
///
/// # Errors
///
/// Fails if the body is not valid JSON, or if it has neither messages nor a
/// prompt.
pub fn parse(body: &[u8]) -> Result<Prompt, CallerError> {
    let invalid = |e: serde_json::Error| CallerError::InvalidBody(e.to_string());
    let body: Body<'_> = serde_json::from_slice(body).map_err(invalid)?;
    let Some(text) = body.messages.or(body.prompt) else {
        let text = "messages or prompt is needed".to_owned();
        return Err(CallerError::InvalidBody(text));
    };
    let output = body.max_completion_tokens.or(body.max_tokens);
    let text = text.get().as_bytes();
    let work = Work {
        prefill: estimate_tokens(text.len()),
        cached: 0,
        output: output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
    };
    let prefix = chunk_hashes(&body.model, text);
    Ok(Prompt {
        work,
        max_total_tokens: work.prefill + work.output,
        parts: prefix_parts(&prefix),
        prefix,
        model: Some(body.model),
    })
}

/// Returns whether a body requests an answer as server-sent events.
pub fn requests_stream(body: &[u8]) -> bool {
    serde_json::from_slice::<Body<'_>>(body).is_ok_and(|body| body.stream)
}
