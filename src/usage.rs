//! Reads token counts and completeness from an answer in the OpenAI format.

use serde::Deserialize;

use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// The most of an answer that is kept to look for its token counts, in bytes.
const MAX_KEPT_BYTES: usize = 256 << 10;

const DATA_PREFIX: &[u8] = b"data:";
const LAST_EVENT: &[u8] = b"[DONE]";

/// The form of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// Server-sent events, ended by `[DONE]`.
    Events,
    /// Server-sent events that end with the answer; each holds this many
    /// tokens.
    PlainEvents(u64),
    /// One JSON document.
    Document,
    /// Anything else; nothing is read from it.
    Opaque,
}

/// Follows an answer as its bytes arrive.
#[derive(Debug)]
pub struct UsageReader {
    form: AnswerForm,
    kept: Vec<u8>,
    overflown: bool,
    events: u64,
    ended: bool,
    work: Option<Work>,
}

#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl UsageReader {
    /// A reader for an answer of this form.
    pub fn new(form: AnswerForm) -> Self {
        Self {
            form,
            kept: Vec::new(),
            overflown: false,
            events: 0,
            ended: false,
            work: None,
        }
    }

    /// Takes in the next bytes of the answer.
    pub fn push(&mut self, bytes: &[u8]) {
        match self.form {
            AnswerForm::Events | AnswerForm::PlainEvents(_) => self.push_events(bytes),
            AnswerForm::Document => self.keep(bytes),
            AnswerForm::Opaque => {}
        }
    }

    /// Whether the answer, now ended, carried its own mark of the end where
    /// its form has one.
    pub fn is_whole(&self) -> bool {
        self.form != AnswerForm::Events || self.ended
    }

    /// The token counts of the answer, now ended. Where it reports none, the
    /// events are counted as generated tokens on top of the `expected` prompt.
    pub fn work(mut self, expected: Work) -> Work {
        if self.form == AnswerForm::Document && !self.overflown {
            self.work = parse(&self.kept);
        }
        let tokens = match self.form {
            AnswerForm::PlainEvents(tokens) => tokens,
            AnswerForm::Events | AnswerForm::Document | AnswerForm::Opaque => 1,
        };
        self.work.unwrap_or(Work {
            output: self.events * tokens,
            ..expected
        })
    }

    fn keep(&mut self, bytes: &[u8]) {
        if self.kept.len() + bytes.len() > MAX_KEPT_BYTES {
            self.overflown = true;
            self.kept.clear();
            return;
        }
        if !self.overflown {
            self.kept.extend_from_slice(bytes);
        }
    }

    fn push_events(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            self.keep(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.kept);
                if !std::mem::take(&mut self.overflown) {
                    self.line(line.trim_ascii());
                }
            }
        }
    }

    fn line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        let data = data.trim_ascii();
        if data == LAST_EVENT {
            self.ended = true;
            return;
        }
        self.events += 1;
        // Most events carry no counts; the search spares parsing them.
        if data.windows(USAGE_KEY.len()).any(|w| w == USAGE_KEY) {
            self.work = parse(data).or(self.work);
        }
    }
}

const USAGE_KEY: &[u8] = b"\"usage\"";

fn parse(json: &[u8]) -> Option<Work> {
    let answer: Answer = serde_json::from_slice(json).ok()?;
    let usage = answer.usage?;
    Some(Work {
        prefill: usage.prompt_tokens,
        cached: usage.prompt_tokens_details.map_or(0, |d| d.cached_tokens),
        output: usage.completion_tokens,
    })
}
